"""Answers instances that ask for tokens, for the quotas that this instance decides about."""

from __future__ import annotations

import threading
from collections.abc import Callable

from coltsfootrill.clock import Clock
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.membership.datagrams import DatagramPort
from coltsfootrill.quotas.decider import Decider
from coltsfootrill.quotas.limits import QuotaBounds
from coltsfootrill.quotas.limits import count_deciders_max
from coltsfootrill.quotas.messages import ANSWER_TOPIC
from coltsfootrill.quotas.messages import ASK_TOPIC
from coltsfootrill.quotas.messages import TRANSFER_TOPIC
from coltsfootrill.quotas.messages import Ask
from coltsfootrill.quotas.messages import AskAnswer
from coltsfootrill.quotas.messages import Pull
from coltsfootrill.quotas.messages import Transfer
from coltsfootrill.quotas.messages import Unavailable
from coltsfootrill.quotas.messages import decode_ask
from coltsfootrill.quotas.messages import decode_transfer
from coltsfootrill.quotas.messages import encode
from coltsfootrill.quotas.seats import Seats
from coltsfootrill.quotas.seats import Standing


class QuotaServer:
    """Decides about tokens while this instance holds a seat; thread-safe.

    ``observe`` updates the seats from the lists of instances.
    """

    def __init__(
        self,
        own_id: str,
        *,
        port: DatagramPort,
        seats: Seats,
        observe: Callable[[], None],
        bounds: QuotaBounds,
        find_organisation: Callable[[str], Organisation | None],
        is_stopping: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._own_id = own_id
        self._port = port
        self._seats = seats
        self._observe = observe
        self._bounds = bounds
        self._find_organisation = find_organisation
        self._is_stopping = is_stopping
        self._clock = clock
        self._lock = threading.Lock()
        self._decider = Decider(bounds)
        port.handle(ASK_TOPIC, self.handle_ask)
        port.handle(TRANSFER_TOPIC, self.handle_transfer)

    def handle_ask(self, payload: bytes, sender: str) -> None:
        """Answer a question; raise ``msgspec.MsgspecError`` if it is malformed."""
        answer = self.decide(decode_ask(payload), sender)
        if answer is not None:
            self._port.send(ANSWER_TOPIC, encode(answer), sender)

    def decide(self, ask: Ask, sender: str) -> AskAnswer | None:
        """Return the answer to a question, ``None`` if there is a newer one."""
        organisation, standing = self._find(ask.organisation)
        now_ms = self._clock.now_ms()
        settled_ms = None if standing is None else standing.get_settled_ms(now_ms)
        if organisation is None or standing is None or settled_ms is None:
            return Unavailable(ask.number)
        with self._lock:
            answer = self._decider.decide(
                ask,
                sender,
                organisation,
                seats_count=standing.seats_count,
                settled_ms=settled_ms,
                now_ms=now_ms,
            )
            pull_number = self._decider.start_pull(organisation, now_ms)
        if pull_number is not None:
            self._pull(organisation, standing, pull_number)
        return answer

    def handle_transfer(self, payload: bytes, sender: str) -> None:
        """Handle a message of another decider; raise ``msgspec.MsgspecError`` if malformed."""
        message = decode_transfer(payload)
        if isinstance(message, Transfer):
            with self._lock:
                self._decider.accept(message, self._clock.now_ms())
        else:
            self._hand_over(message, sender)

    def remove_unused(self) -> None:
        """Drop what is no longer needed."""
        with self._lock:
            self._decider.remove_unused(self._clock.now_ms())

    def _find(self, name: str) -> tuple[Organisation | None, Standing | None]:
        organisation = None if self._is_stopping() else self._find_organisation(name)
        if organisation is None:
            return None, None
        self._observe()
        seats_max = count_deciders_max(organisation, self._bounds)
        return organisation, self._seats.get_standing(name, seats_max)

    def _pull(self, organisation: Organisation, standing: Standing, number: int) -> None:
        with self._lock:
            wanted = self._decider.get_wanted(organisation)
        message = encode(Pull(number, organisation.name, wanted))
        for record in standing.deciders:
            if record.id != self._own_id:
                self._port.send(TRANSFER_TOPIC, message, record.address)

    def _hand_over(self, pull: Pull, sender: str) -> None:
        organisation, standing = self._find(pull.organisation)
        now_ms = self._clock.now_ms()
        settled_ms = None if standing is None else standing.get_settled_ms(now_ms)
        if organisation is None or standing is None or settled_ms is None:
            return
        with self._lock:
            count = self._decider.hand_over(
                pull.wanted,
                organisation,
                seats_count=standing.seats_count,
                settled_ms=settled_ms,
                now_ms=now_ms,
            )
        if count:
            transfer = Transfer(pull.number, pull.organisation, count)
            self._port.send(TRANSFER_TOPIC, encode(transfer), sender)
