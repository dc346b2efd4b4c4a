"""Upstreams and instances known to a voting replica, and its replies to followers."""

from __future__ import annotations

import threading
from collections.abc import Callable

import msgspec

from coltsfootrill.clock import Clock
from coltsfootrill.membership.hub_upstreams import HubMergeResult
from coltsfootrill.membership.hub_upstreams import HubUpstreams
from coltsfootrill.membership.live import LiveSet
from coltsfootrill.membership.messages import AnnounceReply
from coltsfootrill.membership.messages import DepartureRequest
from coltsfootrill.membership.messages import FollowReply
from coltsfootrill.membership.messages import FollowRequest
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.messages import LeaveRequest
from coltsfootrill.membership.messages import SuspectEntry
from coltsfootrill.membership.roster import Roster
from coltsfootrill.membership.shared_replies import SharedReplies
from coltsfootrill.membership.shared_replies import UrgentState
from coltsfootrill.membership.snapshot import StoredUpstreams
from coltsfootrill.membership.snapshot import UpstreamSnapshot
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.directory import DepartureResult
from coltsfootrill.zones.orders import ZoneOrders

CURRENT_FOR_MS = 2_000.0
SETTLED_AFTER_MS = 6_000.0
SILENT_AFTER_MS = 5_000.0
FOLLOWER_TIMEOUT_MS = 8_000.0
# A hub delays its replies to batch changes that come close together.
BATCH_MS = 16.0
# Changes of the followers are not urgent, unless a voting replica starts or stops following.
# The delay grows with the followers, since all of them hear of each change.
INSTANCE_CHANGE_DELAY_MS = 500.0
INSTANCE_CHANGE_DELAY_PER_FOLLOWER_MS = 4.0
HOLD_MAX_MS = 5_000
REFUSED_MAX_COUNT = 200
NOT_CURRENT = "no majority has recently confirmed the state of this replica"
NOT_WRITTEN = "the disk of this replica refused the departure"
NO_ROOM = "too many upstreams have left before they announced themselves"


def get_instance_change_delay_ms(followers_count: int) -> float:
    """Return for how long a change of the followers, which is not urgent, may be delayed."""
    return max(INSTANCE_CHANGE_DELAY_MS, INSTANCE_CHANGE_DELAY_PER_FOLLOWER_MS * followers_count)


def limit_hold_ms(request: FollowRequest) -> int:
    """Return how long a poll may be held."""
    return min(max(request.hold_ms, 0), HOLD_MAX_MS)


class Hub:
    """Thread-safe owner of the announcements made to the voting replicas.

    ``share`` sends the departure of an upstream, or the announcement of a leaving one, to the other
    replicas and returns whether a majority of the replicas, this one included, has it.
    ``list_refused`` returns the requests that crash upstreams, the latest last, and
    ``get_zone_orders`` the orders on availability zones in force.
    """

    def __init__(
        self,
        own: InstanceRecord,
        *,
        boot: int,
        clock: Clock,
        share: Callable[[Announcement | DepartureRequest], bool],
        get_manifest_version: Callable[[], int],
        snapshot: UpstreamSnapshot | None = None,
        list_refused: Callable[[], list[SuspectEntry]] = list,
        get_zone_orders: Callable[[], ZoneOrders] = ZoneOrders,
    ) -> None:
        self._get_zone_orders = get_zone_orders
        self._list_refused = list_refused
        self._snapshot = snapshot
        self._own = own
        self._boot = boot
        self._clock = clock
        self._share = share
        self._get_manifest_version = get_manifest_version
        self._changed = threading.Condition()
        self._upstreams = HubUpstreams(own.id)
        self._directory = self._upstreams.directory
        self._roster = Roster()
        self._live = LiveSet()
        self._replicas: list[str] = []
        # Those that this instance follows, which need not be those that it last confirmed.
        self._followed_replicas: list[str] = []
        self._notified_position = 1
        self._unsent_since_ms: float | None = None
        self._started_ms = clock.now_ms()
        self._last_confirmed_ms = float("-inf")
        self._listeners: list[Callable[[], None]] = []
        self._shared_replies = SharedReplies()
        self._directory.position = 1
        if snapshot is not None:
            self._restore(snapshot)

    def is_current(self) -> bool:
        """Return whether a majority confirmed this replica's state within ``CURRENT_FOR_MS``."""
        return self._clock.now_ms() - self._last_confirmed_ms < CURRENT_FOR_MS

    @property
    def replicas(self) -> list[str]:
        """Return the addresses of the voting replicas that the last majority read confirmed."""
        return self._replicas

    def record_majority_read(self, replicas: list[str]) -> None:
        """Record a majority read that just succeeded, and the addresses of the voting replicas."""
        with self._changed:
            was_current = self.is_current()
            self._last_confirmed_ms = self._clock.now_ms()
            if replicas != self._replicas or not was_current:
                self._replicas = replicas
                self._notify_followers()

    def record_followed_replicas(self, replicas: list[str]) -> None:
        """Record the addresses of the voting replicas, as a current hub has listed them.

        So an instance that does not vote leads those that know only it to the replicas.
        """
        with self._changed:
            if replicas != self._followed_replicas:
                self._followed_replicas = replicas
                self._notify_followers()

    def notify_order_change(self) -> None:
        """Notify the followers that another manifest or another order on a zone is in force."""
        with self._changed:
            self._notify_followers()

    def announce(self, announcement: Announcement) -> AnnounceReply:
        """Merge an announcement that an upstream made.

        One that is leaving is acknowledged only once a majority of the replicas has it.
        """
        if not self.is_current():
            return AnnounceReply(False, NOT_CURRENT)
        result = self.merge(announcement, age_ms=0)
        if announcement.state != "leaving":
            return AnnounceReply(True, "")
        if result == "full":
            return AnnounceReply(False, NO_ROOM)
        return self._confirm(announcement)

    def persist_upstreams(self) -> bool:
        """Write the upstreams to the snapshot, if this instance has a disk.

        Return whether nothing is left to write.
        """
        return self._snapshot is None or self._snapshot.write(self._describe_stored)

    def deregister(self, request: LeaveRequest) -> AnnounceReply:
        """Record that an upstream has left, also one that has not announced itself yet.

        Its announcement may be on its way. Like that of a leaving upstream, the departure is
        acknowledged only once a majority of the replicas has it.
        """
        if not self.is_current():
            return AnnounceReply(False, NOT_CURRENT)
        with self._changed:
            departure = self._upstreams.resolve_departure(request)
            result = self._record_departure(departure)
            shared = self._upstreams.describe_departure(departure)
        if result == "full":
            return AnnounceReply(False, NO_ROOM)
        return self._confirm(shared)

    def store_shared(self, shared: Announcement | DepartureRequest) -> AnnounceReply:
        """Store what another replica shares before it acknowledges a departure."""
        if isinstance(shared, Announcement):
            is_stored = self.merge(shared, age_ms=0) != "full"
        else:
            is_stored = self._record_departure(shared) != "full"
        if not is_stored:
            return AnnounceReply(False, NO_ROOM)
        return self._write()

    def merge(self, announcement: Announcement, *, age_ms: float) -> HubMergeResult:
        """Merge an announcement that was made ``age_ms`` ago."""
        with self._changed:
            now_ms = self._clock.now_ms()
            result = self._upstreams.merge(announcement, age_ms=age_ms, now_ms=now_ms)
            if result in ("superseded", "full"):
                return result
            if result == "changed" or announcement.id not in self._live.ids:
                self._update_live(now_ms)
            if result == "changed":
                self._notify_followers()
            return result

    def merge_reply(self, reply: FollowReply) -> None:
        """Merge the departures, upstreams and renewals of another hub's reply, as one change."""
        with self._changed:
            now_ms = self._clock.now_ms()
            has_changed = self._upstreams.record_departures(reply.departures, now_ms)
            has_changed |= self._upstreams.merge_all(reply.upstreams, now_ms)
            self._upstreams.renew_all(reply.renewals, now_ms)
            if reply.departures or reply.upstreams:
                self._update_live(now_ms)
            if has_changed:
                self._notify_followers()

    def answer(self, request: FollowRequest) -> FollowReply:
        """Return the changes for a follower, held until a change or the timeout."""
        position = self.begin_poll(request)
        end_ms = self._clock.now_ms() + limit_hold_ms(request)
        with self._changed:
            while not self.has_changes(position):
                left_ms = end_ms - self._clock.now_ms()
                if left_ms <= 0 or not self._changed.wait(left_ms / 1000):
                    break
        if self.has_changes(position):
            self._clock.sleep_ms(BATCH_MS)
        with self._changed:
            return self._make_reply(position, is_for_hub=request.is_hub)

    def begin_poll(self, request: FollowRequest) -> int:
        """Record the follower, and return the position after which it needs the changes."""
        with self._changed:
            self._record_follower(request, self._clock.now_ms())
            position = request.position if request.boot == self._boot else 0
            return 0 if position < self._roster.pruned_up_to else position

    def has_changes(self, position: int) -> bool:
        """Return whether a follower should hear now of changes after ``position``."""
        return self._notified_position > position

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever followers should hear of a change; it must not block."""
        self._listeners.append(listener)

    def encode_reply(self, position: int, *, is_for_hub: bool) -> bytes:
        """Return the encoded changes after ``position``, the same object for many followers.

        A follower that does not vote may get a reply made a moment ago. Its next poll gets what
        has changed since.
        """
        with self._changed:
            if is_for_hub:
                return self._encode_reply(position, is_for_hub=True)
            state = UrgentState(
                notified_position=self._notified_position,
                is_current=self.is_current(),
                manifest_version=self._get_manifest_version(),
                order_number=self._get_zone_orders().number,
            )
            return self._shared_replies.get(
                position,
                state,
                now_ms=self._clock.now_ms(),
                make=lambda: self._encode_reply(position, is_for_hub=False),
            )

    def remove_expired(self) -> None:
        """Remove upstreams and followers whose timeout has passed, and send delayed changes."""
        with self._changed:
            now_ms = self._clock.now_ms()
            self._update_live(now_ms)
            if self._directory.remove_expired(now_ms):
                self._live.prune(set(self._directory.by_id))
            for instance_id in self._roster.list_expired(now_ms - FOLLOWER_TIMEOUT_MS):
                self._remove_follower(instance_id)
            unsent_since_ms = self._unsent_since_ms
            if (
                unsent_since_ms is not None
                and now_ms - unsent_since_ms
                >= get_instance_change_delay_ms(len(self._roster.by_id))
            ):
                self._notify_followers()

    def list_candidates(self) -> dict[str, str]:
        """Return the addresses of the instances that could vote, by identifier."""
        with self._changed:
            return {
                instance_id: follower.record.address
                for instance_id, follower in self._roster.by_id.items()
                if follower.is_candidate and not follower.record.is_leaving
            }

    def _restore(self, snapshot: UpstreamSnapshot) -> None:
        """Restore what the snapshot holds; how long ago upstreams left is not known any more."""
        stored = snapshot.read()
        for departure in stored.departures:
            self._record_departure(departure)
        for announcement in stored.upstreams:
            self.merge(announcement, age_ms=SILENT_AFTER_MS)

    def _describe_stored(self) -> StoredUpstreams:
        with self._changed:
            return StoredUpstreams(
                upstreams=self._upstreams.list_lasting(),
                departures=self._upstreams.list_lasting_departures(),
            )

    def _record_departure(self, departure: DepartureRequest) -> DepartureResult:
        with self._changed:
            now_ms = self._clock.now_ms()
            result = self._upstreams.record_departure(departure, age_ms=0, now_ms=now_ms)
            if result == "changed":
                self._update_live(now_ms)
                self._notify_followers()
            return result

    def _confirm(self, departure: Announcement | DepartureRequest) -> AnnounceReply:
        """Acknowledge a departure that is recorded here once a majority of the replicas has it."""
        written = self._write()
        if not written.is_known:
            return written
        if not self._share(departure):
            return AnnounceReply(False, "no majority of the replicas confirmed the departure")
        return written

    def _write(self) -> AnnounceReply:
        """Acknowledge what is recorded here once the disk of this replica has it."""
        if not self.persist_upstreams():
            return AnnounceReply(False, NOT_WRITTEN)
        return AnnounceReply(True, "")

    def _record_follower(self, request: FollowRequest, now_ms: float) -> None:
        if request.sender.is_leaving:
            self._remove_follower(request.sender.id)
            return
        known = self._roster.by_id.get(request.sender.id)
        was_hub = known is not None and known.is_hub
        if not self._roster.record_call(
            request, last_call_ms=now_ms, position=self._directory.position + 1
        ):
            return
        self._record_unsent_change()
        if request.is_hub != was_hub:
            # An instance that does not have the voting replicas yet gets them from this reply.
            self._notify_followers()

    def _remove_follower(self, instance_id: str) -> None:
        if self._roster.drop(instance_id, position=self._directory.position + 1):
            self._record_unsent_change()

    def _record_unsent_change(self) -> None:
        """Record a change of the followers, which is sent with the next reply that has changes."""
        self._directory.position += 1
        if self._unsent_since_ms is None:
            self._unsent_since_ms = self._clock.now_ms()

    def _list_replicas(self) -> list[str]:
        """Return the voting replicas: if not confirmed recently, all that may be some of them."""
        if self.is_current():
            return self._replicas
        voting = [
            follower.record.address for follower in self._roster.by_id.values() if follower.is_hub
        ]
        return list(dict.fromkeys([*self._followed_replicas, *self._replicas, *voting]))

    def _notify_followers(self) -> None:
        self._directory.position += 1
        self._notified_position = self._directory.position
        self._unsent_since_ms = None
        self._changed.notify_all()
        for listener in self._listeners:
            listener()

    def _update_live(self, now_ms: float) -> None:
        live = self._upstreams.list_live(now_ms - SILENT_AFTER_MS)
        if self._live.replace(live, position=self._directory.position + 1):
            self._notify_followers()

    def _encode_reply(self, position: int, *, is_for_hub: bool) -> bytes:
        return msgspec.msgpack.encode(self._make_reply(position, is_for_hub=is_for_hub))

    def _make_reply(self, position: int, *, is_for_hub: bool) -> FollowReply:
        now_ms = self._clock.now_ms()
        return FollowReply(
            boot=self._boot,
            position=self._directory.position,
            is_current=self.is_current(),
            is_settled=now_ms - self._started_ms > SETTLED_AFTER_MS,
            manifest_version=self._get_manifest_version(),
            instance_count=len(self._roster.by_id),
            upstreams=self._upstreams.list_changed(position, now_ms),
            renewals=self._upstreams.list_renewed(position, now_ms) if is_for_hub else [],
            replicas=self._list_replicas(),
            is_whole=position == 0,
            live=self._live.list_live(position),
            silent=self._live.list_silent(position) if position else [],
            instances=self._roster.list_changed(position),
            departed_instances=self._roster.list_departed(position) if position else [],
            refused=[] if position else self._list_refused()[-REFUSED_MAX_COUNT:],
            zone_orders=self._get_zone_orders(),
            departures=self._upstreams.list_departures(position, now_ms),
        )
