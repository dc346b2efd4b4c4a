"""Paxos acceptor that writes and syncs its state before it replies."""

from __future__ import annotations

import secrets
import threading
from pathlib import Path

import msgspec

from coltsfootrill.clock import Clock
from coltsfootrill.control.files import DamagedFileError
from coltsfootrill.control.files import FileLayer
from coltsfootrill.control.files import StorageError
from coltsfootrill.control.files import read_record
from coltsfootrill.control.files import write_record
from coltsfootrill.control.messages import ZERO_BALLOT
from coltsfootrill.control.messages import Accept
from coltsfootrill.control.messages import Accepted
from coltsfootrill.control.messages import AcceptedState
from coltsfootrill.control.messages import Ballot
from coltsfootrill.control.messages import ControlState
from coltsfootrill.control.messages import Inspect
from coltsfootrill.control.messages import Inspection
from coltsfootrill.control.messages import Prepare
from coltsfootrill.control.messages import Promise
from coltsfootrill.errors import ColtsfootrillError

_KEY_BYTES = 8
RECOVERY_RETRY_MS = 500.0


class CannotVoteError(ColtsfootrillError):
    """The replica cannot guarantee that its stored state is intact, so it does not vote."""


class _AcceptedRecord(msgspec.Struct, frozen=True, array_like=True):
    ballot: Ballot
    state: ControlState


class Acceptor:
    """Durable Paxos state of one replica, stored in one data folder.

    ``key`` is the random identity of the folder. After damage or a failed write the replica stops
    voting, and ``fault`` holds the reason. A replica that stopped because of a failed write votes
    again once the disk accepts writes.
    """

    def __init__(self, folder: Path, *, files: FileLayer, clock: Clock | None = None) -> None:
        self._folder = folder
        self._files = files
        self._clock = clock or Clock()
        self._is_recoverable = False
        self._recovery_attempt_ms = float("-inf")
        self._lock = threading.Lock()
        self._promised = ZERO_BALLOT
        self._accepted = ZERO_BALLOT
        self._state: ControlState | None = None
        self.key = ""
        self.fault: str | None = None

    @classmethod
    def from_folder(cls, folder: Path, *, files: FileLayer, clock: Clock | None = None) -> Acceptor:
        """Return the acceptor stored in ``folder``, which is created if it is missing."""
        acceptor = cls(folder, files=files, clock=clock)
        acceptor.load()
        return acceptor

    def load(self) -> None:
        """Read the state from disk; set ``fault`` if it cannot be read or is damaged."""
        try:
            self._load()
        except StorageError as error:
            self.fault = f"{error}; make the data folder writable or free disk space"
            self._is_recoverable = True
        except (DamagedFileError, msgspec.MsgspecError) as error:
            self.fault = f"{error}; move the folder away and admit this replica again"

    def prepare(self, request: Prepare) -> Promise:
        """Promise a ballot if it is higher than every ballot promised before.

        Raises ``CannotVoteError`` when the replica does not vote.
        """
        with self._lock:
            self._check_can_vote()
            is_granted = request.ballot > self._promised
            if is_granted:
                self._write("promised.rec", msgspec.msgpack.encode(request.ballot))
                self._promised = request.ballot
            state = self._get_state_unless_known(request.known)
            return Promise(self.key, is_granted, self._promised, self._accepted, state)

    def accept(self, request: Accept) -> Accepted:
        """Accept a state and store it, unless a higher ballot was promised.

        Raises ``CannotVoteError`` when the replica does not vote.
        """
        with self._lock:
            self._check_can_vote()
            is_granted = request.ballot >= self._promised
            if is_granted:
                self._store(request.ballot, request.state)
            return Accepted(self.key, is_granted, self._promised)

    def learn(self, ballot: Ballot, state: ControlState) -> None:
        """Store a state that a majority accepted under ``ballot``, unless a newer one is stored.

        A higher promise is no obstacle: whoever it was made to finds that state at the majority.
        Raises ``CannotVoteError`` when the replica does not vote.
        """
        with self._lock:
            self._check_can_vote()
            if ballot > self._accepted:
                self._store(ballot, state)

    def inspect(self, request: Inspect) -> Inspection:
        """Return the state accepted last.

        Raises ``CannotVoteError`` when the replica does not vote.
        """
        with self._lock:
            self._check_can_vote()
            return Inspection(self.key, self._accepted, self._get_state_unless_known(request.known))

    def get_state(self) -> ControlState | None:
        """Return the state accepted last; it is not necessarily chosen by a majority."""
        return self.get_accepted().state

    def get_accepted(self) -> AcceptedState:
        """Return the state accepted last with its ballot."""
        with self._lock:
            return AcceptedState(self._accepted, self._state)

    def _store(self, ballot: Ballot, state: ControlState) -> None:
        record = _AcceptedRecord(ballot, state)
        self._write("accepted.rec", msgspec.msgpack.encode(record))
        self._promised = max(self._promised, ballot)
        self._accepted = ballot
        self._state = state

    def _get_state_unless_known(self, known: Ballot) -> ControlState | None:
        """Return the accepted state, or ``None`` if its ballot is ``known``: the sender has it."""
        return None if self._accepted == known else self._state

    def _check_can_vote(self) -> None:
        if self.fault is not None and self._is_recoverable:
            self._recover()
        if self.fault is not None:
            raise CannotVoteError(self.fault)

    def _recover(self) -> None:
        """Resume voting once the disk is known to hold what a restart would read.

        The content that the failed write left on disk is unknown, so it is read back, then
        written and synced again before the replica votes. At most one attempt is made every
        ``RECOVERY_RETRY_MS``.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._recovery_attempt_ms < RECOVERY_RETRY_MS:
            return
        self._recovery_attempt_ms = now_ms
        promised = self._promised
        try:
            self._load()
            self._promised = max(self._promised, promised)
            write_record(
                self._files, self._folder / "promised.rec", msgspec.msgpack.encode(self._promised)
            )
            if self._state is not None:
                record = _AcceptedRecord(self._accepted, self._state)
                write_record(
                    self._files, self._folder / "accepted.rec", msgspec.msgpack.encode(record)
                )
        except StorageError as error:
            self.fault = f"{error}; make the data folder writable or free disk space"
            return
        except (DamagedFileError, msgspec.MsgspecError) as error:
            self.fault = f"{error}; move the folder away and admit this replica again"
            self._is_recoverable = False
            return
        self.fault = None
        self._is_recoverable = False

    def _write(self, name: str, payload: bytes) -> None:
        try:
            write_record(self._files, self._folder / name, payload)
        except StorageError as error:
            # After a failed sync the content of the disk is unknown, so the replica does not vote
            # until it has been read back.
            self.fault = f"{error}; make the data folder writable or free disk space"
            self._is_recoverable = True
            raise CannotVoteError(self.fault) from error

    def _load(self) -> None:
        try:
            self._files.make_folder(self._folder)
        except OSError as error:
            raise StorageError(f"cannot create the data folder {self._folder}: {error}") from error
        key = read_record(self._files, self._folder / "key.rec")
        promised = read_record(self._files, self._folder / "promised.rec")
        accepted = read_record(self._files, self._folder / "accepted.rec")
        if key is None:
            if promised is not None or accepted is not None:
                raise DamagedFileError("key.rec is missing although other records exist")
            key = secrets.token_hex(_KEY_BYTES).encode()
            write_record(self._files, self._folder / "key.rec", key)
        self.key = key.decode()
        if promised is not None:
            self._promised = msgspec.msgpack.decode(promised, type=Ballot)
        if accepted is not None:
            record = msgspec.msgpack.decode(accepted, type=_AcceptedRecord)
            self._accepted = record.ballot
            self._state = record.state
            self._promised = max(self._promised, record.ballot)
