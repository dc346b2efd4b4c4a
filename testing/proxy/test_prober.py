"""Probes of ejected upstreams."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

import pytest

from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.clock import Clock
from coltsfootrill.proxy.prober import Prober
from testing.processes import wait_until
from testing.proxy.fakes import Script
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import answer
from testing.proxy.instance import Instance

EJECTED_FOR_MS = 60_000
DECLINED = answer(b"", status="503 Service Unavailable", extra="retry-after: 60\r\n")


class ProbedUpstream:
    """An ejected upstream of an instance, and the prober of that instance."""

    def __init__(self, instance: Instance, script: Script) -> None:
        self.upstream = ScriptedUpstream(script)
        instance.announce("u1", self.upstream.address)
        self._app = instance.app
        self._prober = Prober(
            instance.app,
            instance.manifests,
            instance.fleet,
            fleet_max_count=1,
            random=Random(3),
            clock=Clock(),
            metrics=instance.metrics,
        )
        table = instance.manifests.current
        assert table is not None
        self._limits = table.manifest.measuring
        (service,) = table.manifest.services
        self._controller = instance.app.get_controller(service)
        self._controller.refresh(service)
        self._controller.read_pool(self._eject)

    def _eject(self, pool: ServicePool, now_ms: float) -> None:
        load = pool.by_id["u1"]
        load.ejected_until_ms = now_ms + EJECTED_FOR_MS
        load.needs_probe = True

    def decline(self) -> None:
        self._app.declines.record("u1", 1, for_ms=EJECTED_FOR_MS, now_ms=Clock().now_ms())

    def is_declining(self) -> bool:
        return self._app.declines.is_declining("u1", 1, Clock().now_ms())

    def probe(self) -> int:
        """Probe the ejected upstreams without regard to the budget; return how many there were."""
        found = self._prober._list_ejected()
        for _, load, _ in found:
            self._prober._probe(self._controller, load, self._limits)
        return len(found)


@pytest.fixture
def instance() -> Iterator[Instance]:
    made = Instance()
    yield made
    made.close()


class TestDecliningUpstream:
    def test_an_ejected_upstream_is_probed(self, instance: Instance) -> None:
        probed = ProbedUpstream(instance, answer(b""))
        assert probed.probe() == 1
        # What was sent arrives there even if the prober no longer waits for the answer.
        wait_until(lambda: bool(probed.upstream.heads))
        assert len(probed.upstream.heads) == 1
        assert not probed.is_declining()

    # Guards against probes of an upstream that has turned a request of this instance away.
    def test_one_that_declined_a_request_is_not_probed(self, instance: Instance) -> None:
        probed = ProbedUpstream(instance, answer(b""))
        probed.decline()
        assert (probed.probe(), len(probed.upstream.heads)) == (0, 0)

    def test_one_that_declined_a_probe_gets_no_requests(self, instance: Instance) -> None:
        probed = ProbedUpstream(instance, DECLINED)
        probed.probe()
        assert probed.is_declining()
