"""Replies of replicas to one call, and the majorities among them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from coltsfootrill.control.messages import Accepted
from coltsfootrill.control.messages import Inspection
from coltsfootrill.control.messages import Promise
from coltsfootrill.control.messages import Replica

Reply = TypeVar("Reply", Promise, Accepted, Inspection)


class Votes(Generic[Reply]):
    """Replies by replica address, counted against a majority of each replica set."""

    def __init__(self, replica_sets: list[dict[str, Replica]]) -> None:
        self.replica_sets = replica_sets
        self.by_address: dict[str, Reply] = {}

    def has_majority(self, select: Callable[[Reply], bool]) -> bool:
        """Return whether the selected replies with a valid key form a majority of every set.

        In a set without keys no reply has a valid key.
        """
        return all(self._has_majority_of(replicas, select) for replicas in self.replica_sets)

    def are_all_selected(self, select: Callable[[Reply], bool]) -> bool:
        """Return whether all replicas of every set replied, with any key, and are selected."""
        replies = [
            self.by_address.get(replica.address)
            for replicas in self.replica_sets
            for replica in replicas.values()
        ]
        return all(reply is not None and select(reply) for reply in replies)

    def _has_majority_of(
        self, replicas: dict[str, Replica], select: Callable[[Reply], bool]
    ) -> bool:
        count = 0
        for replica in replicas.values():
            reply = self.by_address.get(replica.address)
            if reply is not None and reply.key == replica.key:
                count += select(reply)
        return 2 * count > len(replicas)
