from __future__ import annotations

import msgspec

from coltsfootrill.control.messages import ControlState
from coltsfootrill.control.messages import Replica

KEYED = {"a": Replica("10.0.0.1:1", "k")}


class FormerState(msgspec.Struct, frozen=True, array_like=True):
    """The state as releases wrote it that did not name the previous replica set."""

    epoch: int
    chosen_epoch: int
    replicas: dict[str, Replica]
    version: int
    digest: str
    manifest: bytes
    history: list[str]
    audit: list[str]
    audit_count: int


class TestControlState:
    # Guards against replicas that cannot read each other while they are replaced by a new release.
    def test_former_releases_and_this_one_read_each_other(self) -> None:
        former = msgspec.msgpack.encode(FormerState(1, 1, KEYED, 3, "d", b"m", [], [], 1))
        assert msgspec.msgpack.decode(former, type=ControlState).chosen_replicas == KEYED
        state = ControlState(2, 1, KEYED, 3, "d", b"m", [], [], 1, KEYED)
        encoded = msgspec.msgpack.encode(state)
        assert msgspec.msgpack.decode(encoded, type=FormerState).version == 3

    def test_set_before_an_unfinished_replacement_is_the_chosen_one(self) -> None:
        state = ControlState(2, 1, {}, 3, "d", b"m", [], [], 1, KEYED)
        assert state.chosen_replicas == KEYED
        assert msgspec.structs.replace(state, chosen_epoch=2).chosen_replicas == {}
