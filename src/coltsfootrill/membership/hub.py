"""What a voting replica knows of upstreams and instances, and tells those that follow it."""

from __future__ import annotations

import threading
from collections.abc import Callable

import msgspec

from coltsfootrill.clock import Clock
from coltsfootrill.membership.live import LiveSet
from coltsfootrill.membership.messages import AnnounceReply
from coltsfootrill.membership.messages import FollowReply
from coltsfootrill.membership.messages import FollowRequest
from coltsfootrill.membership.messages import Goodbye
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.messages import Renewal
from coltsfootrill.membership.messages import SharedUpstream
from coltsfootrill.membership.roster import Roster
from coltsfootrill.membership.snapshot import UpstreamSnapshot
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.directory import Directory

CURRENT_FOR_MS = 2_000.0
SETTLED_AFTER_MS = 6_000.0
SILENT_AFTER_MS = 5_000.0
FOLLOWER_GONE_AFTER_MS = 8_000.0
# Several changes that come together go out in one reply, the more followers the more of them:
# a round of replies must not take all of a hub's time.
BATCH_MS = 4.0
BATCH_PER_FOLLOWER_MS = 0.8
# Who else follows is no hurry, unless it votes.
INSTANCE_NEWS_MS = 500.0
HOLD_MAX_MS = 5_000


class Hub:
    """Thread-safe owner of the announcements made to the voting replicas.

    ``share`` hands a leaving upstream to the other replicas and returns whether a majority of
    them knows it, this one included.
    """

    def __init__(
        self,
        own: InstanceRecord,
        *,
        boot: int,
        clock: Clock,
        share: Callable[[Announcement], bool],
        get_manifest_version: Callable[[], int],
        snapshot: UpstreamSnapshot | None = None,
    ) -> None:
        self._snapshot = snapshot
        self._own = own
        self._boot = boot
        self._clock = clock
        self._share = share
        self._get_manifest_version = get_manifest_version
        self._changed = threading.Condition()
        self._directory = Directory()
        self._roster = Roster()
        self._live = LiveSet()
        self._replicas: list[str] = []
        self._news_at = 1
        self._untold_since_ms: float | None = None
        self._started_ms = clock.now_ms()
        self._confirmed_ms = float("-inf")
        self._directory.position = 1
        for announcement in [] if snapshot is None else snapshot.read():
            self.merge(announcement, age_ms=SILENT_AFTER_MS)

    def is_current(self) -> bool:
        """Return whether a majority confirmed the state of this replica of late."""
        return self._clock.now_ms() - self._confirmed_ms < CURRENT_FOR_MS

    def note_confirmed(self, replicas: list[str]) -> None:
        """Note a majority read that has just succeeded, and who votes."""
        with self._changed:
            self._confirmed_ms = self._clock.now_ms()
            if replicas != self._replicas:
                self._replicas = replicas
                self._note_news()

    def note_manifest(self) -> None:
        """Tell the followers that another manifest is in force."""
        with self._changed:
            self._note_news()

    def announce(self, announcement: Announcement) -> AnnounceReply:
        """Take an announcement that an upstream made."""
        if not self.is_current():
            return AnnounceReply(False, "this replica has no majority")
        self.merge(announcement, age_ms=0)
        if announcement.state != "leaving":
            return AnnounceReply(True, "")
        self.keep()
        if not self._share(announcement):
            return AnnounceReply(False, "no majority of the replicas knows it")
        return AnnounceReply(True, "")

    def keep(self) -> None:
        """Write the upstreams to the disk, where there is one."""
        if self._snapshot is None:
            return
        with self._changed:
            records = self._directory.by_id.values()
            # The sequence grows with each renewal, which is no reason to write.
            announcements = [
                msgspec.structs.replace(record.announcement, sequence=0) for record in records
            ]
        self._snapshot.write(announcements)

    def say_goodbye(self, goodbye: Goodbye) -> AnnounceReply:
        """Take the goodbye of an upstream; one that is not known needs no more."""
        with self._changed:
            record = self._directory.by_id.get(goodbye.upstream_id)
            announcement = None if record is None else record.announcement
        if announcement is None:
            return AnnounceReply(self.is_current(), "not known here")
        if goodbye.incarnation not in (None, announcement.incarnation):
            return AnnounceReply(self.is_current(), "another incarnation serves")
        return self.announce(msgspec.structs.replace(announcement, state="leaving"))

    def merge(self, announcement: Announcement, *, age_ms: float) -> None:
        """Take in an announcement as old as ``age_ms``."""
        with self._changed:
            now_ms = self._clock.now_ms()
            if self._is_replaced(announcement):
                return
            result = self._directory.merge(
                announcement, origin=self._own.id, last_confirmed_ms=now_ms - age_ms, now_ms=now_ms
            )
            if result == "changed":
                self._update_live(now_ms)
                self._note_news()
            elif announcement.id not in self._live.ids:
                self._update_live(now_ms)

    def absorb(self, reply: FollowReply) -> None:
        """Take in what another hub knows."""
        for shared in reply.upstreams:
            self.merge(shared.announcement, age_ms=shared.age_ms)
        with self._changed:
            now_ms = self._clock.now_ms()
            for renewal in reply.renewals:
                self._directory.renew(
                    renewal.id,
                    renewal.incarnation,
                    now_ms - renewal.age_ms,
                    origin=None,
                    now_ms=now_ms,
                )

    def answer(self, request: FollowRequest) -> FollowReply:
        """Return news to a follower, held back until there are some."""
        start_ms = self._clock.now_ms()
        with self._changed:
            self._note_follower(request, start_ms)
            position = request.position if request.boot == self._boot else 0
            if position < self._roster.horizon:
                position = 0
            end_ms = start_ms + min(max(request.hold_ms, 0), HOLD_MAX_MS)
            while self._news_at <= position:
                left_ms = end_ms - self._clock.now_ms()
                if left_ms <= 0 or not self._changed.wait(left_ms / 1000):
                    break
            is_news = self._news_at > position
        if is_news:
            followers = len(self._roster.by_id)
            self._clock.sleep_ms(max(BATCH_MS, BATCH_PER_FOLLOWER_MS * followers))
        with self._changed:
            return self._make_reply(position, is_for_hub=request.is_hub)

    def clean(self) -> None:
        """Take note of upstreams and instances that fell silent."""
        with self._changed:
            now_ms = self._clock.now_ms()
            self._update_live(now_ms)
            if self._directory.forget_expired(now_ms):
                self._live.forget(set(self._directory.by_id))
            for instance_id in self._roster.list_silent(now_ms - FOLLOWER_GONE_AFTER_MS):
                self._drop_follower(instance_id)
            untold_since_ms = self._untold_since_ms
            if untold_since_ms is not None and now_ms - untold_since_ms >= INSTANCE_NEWS_MS:
                self._note_news()

    def list_candidates(self) -> dict[str, str]:
        """Return the addresses of the instances that could vote, by identifier."""
        with self._changed:
            return {
                instance_id: follower.record.address
                for instance_id, follower in self._roster.by_id.items()
                if follower.is_candidate and not follower.record.is_leaving
            }

    def _is_replaced(self, announcement: Announcement) -> bool:
        """Return whether a younger upstream has taken the address; older ones there leave."""
        for record in self._directory.by_id.values():
            other = record.announcement
            if other.address != announcement.address or other.id == announcement.id:
                continue
            if record.is_leaving:
                continue
            if other.incarnation > announcement.incarnation:
                return True
            if announcement.state != "leaving":
                left = msgspec.structs.replace(other, state="leaving")
                self._directory.merge(
                    left, origin=self._own.id, last_confirmed_ms=record.last_confirmed_ms
                )
        return False

    def _note_follower(self, request: FollowRequest, now_ms: float) -> None:
        if request.sender.is_leaving:
            self._drop_follower(request.sender.id)
            return
        known = self._roster.by_id.get(request.sender.id)
        was_hub = known is not None and known.is_hub
        if not self._roster.note(request, heard_ms=now_ms, position=self._directory.position + 1):
            return
        self._note_untold()
        if request.is_hub != was_hub:
            # Who starts without knowing who votes learns it from this.
            self._note_news()

    def _drop_follower(self, instance_id: str) -> None:
        if self._roster.drop(instance_id, position=self._directory.position + 1):
            self._note_untold()

    def _note_untold(self) -> None:
        """Note a change of the instances that followers are told with the next news."""
        self._directory.position += 1
        if self._untold_since_ms is None:
            self._untold_since_ms = self._clock.now_ms()

    def _list_replicas(self) -> list[str]:
        """Return who votes, as far as it is known here: confirmed, or told by the voters."""
        if self._replicas:
            return self._replicas
        return [
            follower.record.address for follower in self._roster.by_id.values() if follower.is_hub
        ]

    def _note_news(self) -> None:
        self._directory.position += 1
        self._news_at = self._directory.position
        self._untold_since_ms = None
        self._changed.notify_all()

    def _update_live(self, now_ms: float) -> None:
        live = frozenset(
            record.announcement.id
            for record in self._directory.by_id.values()
            if not record.is_leaving and now_ms - record.last_confirmed_ms < SILENT_AFTER_MS
        )
        if self._live.replace(live, position=self._directory.position + 1):
            self._note_news()

    def _make_reply(self, position: int, *, is_for_hub: bool) -> FollowReply:
        now_ms = self._clock.now_ms()
        upstreams: list[SharedUpstream] = []
        renewals: list[Renewal] = []
        for record in self._directory.by_id.values():
            age_ms = max(0, int(now_ms - record.last_confirmed_ms) + 1)
            announcement = record.announcement
            if record.changed_at > position or position == 0:
                upstreams.append(SharedUpstream(announcement, record.origin, age_ms))
            elif is_for_hub and not record.is_leaving:
                renewals.append(Renewal(announcement.id, announcement.incarnation, age_ms))
        return FollowReply(
            boot=self._boot,
            position=self._directory.position,
            is_current=self.is_current(),
            is_settled=now_ms - self._started_ms > SETTLED_AFTER_MS,
            manifest_version=self._get_manifest_version(),
            instance_count=len(self._roster.by_id),
            upstreams=upstreams,
            renewals=renewals,
            replicas=self._list_replicas(),
            is_whole=position == 0,
            live=self._live.list_live(position),
            silent=self._live.list_silent(position) if position else [],
            instances=self._roster.list_changed(position),
            gone_instances=self._roster.list_gone(position) if position else [],
        )
