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
from coltsfootrill.quotas.messages import SEAT_TOPIC
from coltsfootrill.quotas.messages import Ask
from coltsfootrill.quotas.messages import AskAnswer
from coltsfootrill.quotas.messages import HeldAnswer
from coltsfootrill.quotas.messages import HeldQuestion
from coltsfootrill.quotas.messages import Pull
from coltsfootrill.quotas.messages import Transfer
from coltsfootrill.quotas.messages import Unavailable
from coltsfootrill.quotas.messages import decode_ask
from coltsfootrill.quotas.messages import decode_seat_message
from coltsfootrill.quotas.messages import encode
from coltsfootrill.quotas.seats import Seats
from coltsfootrill.quotas.seats import Standing
from coltsfootrill.quotas.testimony import Testimonies
from coltsfootrill.quotas.testimony import testify

# An instance that has got a seat asks others to confirm it at this interval.
CONFIRM_INTERVAL_MS = 200.0


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
        self._asked_witnesses_ms_by_name: dict[str, float] = {}
        self._testimonies = Testimonies(seats)
        port.handle(SEAT_TOPIC, self.handle_seat_message)

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
            if standing is not None and standing.since_ms is not None:
                self._ask_witnesses(ask.organisation, standing, now_ms)
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

    def handle_seat_message(self, payload: bytes, sender: str) -> None:
        """Handle a message about seats; raise ``msgspec.MsgspecError`` if it is malformed."""
        message = decode_seat_message(payload)
        if isinstance(message, Transfer):
            with self._lock:
                self._decider.accept(message, self._clock.now_ms())
        elif isinstance(message, Pull):
            self._hand_over(message, sender)
        elif isinstance(message, HeldQuestion):
            self._testify(message, sender)
        else:
            self._hear(message, sender)

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
                self._port.send(SEAT_TOPIC, message, record.address)

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
            self._port.send(SEAT_TOPIC, encode(transfer), sender)

    def _ask_witnesses(self, name: str, standing: Standing, now_ms: float) -> None:
        """Ask other instances for how long they have listed this one with a seat."""
        asked_ms = self._asked_witnesses_ms_by_name.get(name, float("-inf"))
        if now_ms - asked_ms < CONFIRM_INTERVAL_MS:
            return
        self._asked_witnesses_ms_by_name[name] = now_ms
        message = encode(HeldQuestion(name, self._own_id))
        for record in standing.witnesses:
            self._port.send(SEAT_TOPIC, message, record.address)

    def _testify(self, question: HeldQuestion, sender: str) -> None:
        organisation, standing = self._find(question.organisation)
        if organisation is None or standing is None:
            return
        seats_max = count_deciders_max(organisation, self._bounds)
        answer = testify(
            self._seats,
            organisation.name,
            seats_max,
            holder=question.holder,
            now_ms=self._clock.now_ms(),
        )
        self._port.send(SEAT_TOPIC, encode(answer), sender)

    def _hear(self, answer: HeldAnswer, sender: str) -> None:
        organisation, standing = self._find(answer.organisation)
        if organisation is None or standing is None:
            return
        seats_max = count_deciders_max(organisation, self._bounds)
        with self._lock:
            self._testimonies.hear(
                answer,
                sender,
                standing=standing,
                seats_max=seats_max,
                now_ms=self._clock.now_ms(),
            )
