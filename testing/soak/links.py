"""Links between nodes: a proxy for each ordered pair, so that each can fail alone."""

from __future__ import annotations

import itertools
import json
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Literal

from testing.soak.proxy import FaultProxy
from testing.soak.proxy import Mode

# ``forget`` lets the open connections go silent for good, while new ones work.
LinkFault = Literal["delay", "silent", "one-way", "reset", "forget"]
LINK_FAULTS: tuple[LinkFault, ...] = ("delay", "silent", "silent", "one-way", "reset", "forget")
_MODE_BY_FAULT: dict[LinkFault, Mode] = {"delay": "delay", "silent": "silent", "one-way": "one-way"}

# The host of the node that calls, and the host that it calls.
Pair = tuple[str, str]


class NodeLinks:
    """The proxies through which nodes call each other, by pair."""

    def __init__(self, hosts: list[str], fleet_port: int) -> None:
        self._fleet_port = fleet_port
        self._proxy_by_pair = {
            (caller, host): FaultProxy((host, fleet_port))
            for caller, host in itertools.permutations(hosts, 2)
        }

    def write(self, caller: str, path: Path) -> None:
        """Write the proxies of the calls of a node, by the address that each stands for."""
        proxy_by_address = {
            f"{host}:{self._fleet_port}": proxy.address
            for (pair_caller, host), proxy in self._proxy_by_pair.items()
            if pair_caller == caller
        }
        path.write_text(json.dumps(proxy_by_address))

    def list_between(self, some: Iterable[str], others: Iterable[str]) -> list[Pair]:
        """Return the pairs that connect a node of ``some`` with one of ``others``, either way."""
        first, second = set(some), set(others)
        return [
            (caller, host)
            for caller, host in self._proxy_by_pair
            if (caller in first and host in second) or (caller in second and host in first)
        ]

    def disturb(self, pairs: list[Pair], fault: LinkFault, pause_s: float) -> None:
        """Let links fail; those that are slow or lose data work again after ``pause_s``."""
        proxies = [self._proxy_by_pair[pair] for pair in pairs]
        for proxy in proxies:
            if fault == "reset":
                proxy.reset_all()
            elif fault == "forget":
                proxy.forget_all()
            else:
                proxy.mode = _MODE_BY_FAULT[fault]
        if fault not in _MODE_BY_FAULT:
            return
        time.sleep(pause_s)
        for proxy in proxies:
            proxy.mode = "pass"

    def close(self) -> None:
        for proxy in self._proxy_by_pair.values():
            proxy.close()
