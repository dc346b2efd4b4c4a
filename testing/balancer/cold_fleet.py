"""Pools of many instances on one clock, and what each of their cold upstreams gets of them all."""

from __future__ import annotations

from random import Random

from coltsfootrill.balancer.claim import Claim
from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.balancer.rate_limit import FALLBACK_SHARE
from coltsfootrill.balancer.rate_limit import RateShares
from coltsfootrill.balancer.reported_load import coltsfootrill_choice_policy
from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Service
from coltsfootrill.manifest.model import WarmUp
from testing.records import make_usable_record

RATE_PER_S = 8.9
OVERSHOOT = 1.5
SLACK = 8
COLD_MS = 3_000.0
SECOND_MS = 1_000.0
STEP_MS = 10.0
WORK_MS = 120.0
SLOTS = 6
START_MS = 1_000_000.0
KIND = Kind(id="k", names=["web:a/x/"], idempotent=True, deadline_ms=2_500)
SERVICE = Service(
    id="work",
    upstreams=["*"],
    kinds=[KIND],
    warm_up=WarmUp(duration_ms=int(COLD_MS), requests_per_second=RATE_PER_S),
)


def count_allowed(rate_per_s: float = RATE_PER_S) -> float:
    """Return how many requests a cold upstream may get in any one second."""
    return OVERSHOOT * rate_per_s + SLACK


class ColdFleet:
    """Pools that send to one service; ``sent_ms_by_id`` is what each upstream gets of them all."""

    def __init__(
        self, instances: int, upstreams: int, *, seed: int = 1, service: Service = SERVICE
    ) -> None:
        self.now_ms = START_MS
        self.service = service
        self.records = [make_usable_record(f"u{n}", slots=SLOTS) for n in range(upstreams)]
        self.sent_ms_by_id: dict[str, list[float]] = {
            record.announcement.id: [] for record in self.records
        }
        self._claims: list[tuple[ServicePool, Claim]] = []
        self.random = Random(seed)
        self.pools = [self._make_pool(instances) for _ in range(instances)]

    def state_cold(self, pools: list[ServicePool], remaining_ms: float = COLD_MS) -> None:
        """Let all upstreams state to ``pools`` that they are cold."""
        for pool in pools:
            for record in self.records:
                pool.apply_cold(
                    record.announcement.id, remaining_ms, stated_ms=self.now_ms, now_ms=self.now_ms
                )

    def run(self, pools: list[ServicePool], duration_ms: float) -> None:
        """Send from each of ``pools`` whatever its upstreams take."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self._end_claims()
            self.random.shuffle(pools := list(pools))
            for pool in pools:
                self.send(pool)
            self.now_ms += STEP_MS

    def send(self, pool: ServicePool) -> None:
        """Send from one pool until none of its upstreams takes another request."""
        while (claim := pool.acquire(KIND, self.now_ms, exclude=frozenset())) is not None:
            self.sent_ms_by_id[claim.load.id].append(self.now_ms)
            self._claims.append((pool, claim))

    def count_most(self, *, from_ms: float = START_MS, until_ms: float = float("inf")) -> int:
        """Return the largest number of requests that an upstream got in any second."""
        return max(
            count_in_worst_second([at_ms for at_ms in sent_ms if from_ms <= at_ms < until_ms])
            for sent_ms in self.sent_ms_by_id.values()
        )

    def _make_pool(self, instances: int) -> ServicePool:
        pool = ServicePool(
            self.service,
            policy=coltsfootrill_choice_policy(),
            random=Random(self.random.getrandbits(32)),
            zone="z1",
            queue_limit=64,
        )
        pool.get_latency(KIND.id).add(WORK_MS)
        share = FALLBACK_SHARE / instances
        pool.set_rate_shares(RateShares(stated=share, warm_up=share), self.now_ms)
        pool.update(self.service, self.records, self.now_ms)
        return pool

    def make_dispatcher(self, pool: ServicePool) -> None:
        """Make a pool that of the first dispatcher in rank, or of the next one."""
        pool.set_rate_shares(RateShares(), self.now_ms)

    def _end_claims(self) -> None:
        ended = [item for item in self._claims if self.now_ms - item[1].started_ms >= WORK_MS]
        self._claims = [item for item in self._claims if item not in ended]
        for pool, claim in ended:
            pool.end(claim, "answered", None, self.now_ms)


def count_in_worst_second(sent_ms: list[float]) -> int:
    """Return the largest number of times within any second."""
    return max(
        (
            sum(start_ms <= at_ms < start_ms + SECOND_MS for at_ms in sent_ms)
            for start_ms in sent_ms
        ),
        default=0,
    )
