"""Callers that do not read: what the process holds of their answers stays within its memory."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from testing.floods.crowd import Crowd
from testing.floods.crowd import closing
from testing.floods.crowd import send_with_length
from testing.floods.instance import FloodedInstance

MB = 1024 * 1024
MEMORY_MB = 200
CONNECTIONS = 100
CROWD_COUNT = 40
ANSWER_BYTES = 7 * MB


@pytest.fixture
def instance(tmp_path: Path) -> Iterator[FloodedInstance]:
    made = FloodedInstance(
        tmp_path, memory_mb=MEMORY_MB, connections=CONNECTIONS, body_max_bytes=MB
    )
    try:
        made.start()
        made.answer_with(b"a" * ANSWER_BYTES)
        yield made
    finally:
        made.close()


class TestCallersThatDoNotRead:
    # Guards against answers that are held until their callers read them, each of a legal size.
    def test_answers_that_are_not_read_stay_within_the_memory(
        self, instance: FloodedInstance
    ) -> None:
        crowd = Crowd(instance.address)
        with closing(crowd):
            crowd.send(
                [send_with_length(number, 1, missing_bytes=0) for number in range(CROWD_COUNT)]
            )
            instance.wait_until_taken(CROWD_COUNT)
            instance.answer_with(b"hello")
            instance.check_sound()
