from __future__ import annotations

from pathlib import Path
from random import Random

import pytest

from coltsfootrill.clock import Clock
from coltsfootrill.control.acceptor import Acceptor
from coltsfootrill.control.files import FileLayer
from coltsfootrill.control.messages import ControlState
from coltsfootrill.control.messages import Replica
from coltsfootrill.control.replica import ControlReplica
from coltsfootrill.roles.control import make_status


class TestStatus:
    @pytest.mark.parametrize(("chosen_epoch", "is_member"), [(1, False), (2, True)])
    def test_replica_is_a_member_once_its_set_is_recorded_as_chosen(
        self, tmp_path: Path, chosen_epoch: int, is_member: bool
    ) -> None:
        replica = ControlReplica(
            "c3",
            address="127.0.0.1:1",
            replicas={},
            acceptor=Acceptor.from_folder(tmp_path, files=FileLayer()),
            schemes={},
            clock=Clock(),
            random=Random(1),
        )
        members = {"c3": Replica("127.0.0.1:1", replica.acceptor.key)}
        state = ControlState(2, chosen_epoch, members, 1, "", b"", [], [], 2)
        assert make_status(state, replica)["member"] is is_member
