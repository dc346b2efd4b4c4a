"""Forwarding of one request: attempts at upstreams until there is an answer or a final error."""

from __future__ import annotations

import math

from coltsfootrill.balancer.claim import Claim
from coltsfootrill.balancer.crash_guard import CrashGuard
from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.retry import AttemptHistory
from coltsfootrill.clock import Clock
from coltsfootrill.events.catalog import Attempt as AttemptEvent
from coltsfootrill.manifest.model import Service
from coltsfootrill.manifest.table import Route
from coltsfootrill.metrics import Metrics
from coltsfootrill.proxy.admission_controller import AdmissionController
from coltsfootrill.proxy.answer import AnswerEcho
from coltsfootrill.proxy.answer import EndedWithoutAnswerError
from coltsfootrill.proxy.answer import ReadError
from coltsfootrill.proxy.answer import UpstreamAnswer
from coltsfootrill.proxy.attempt import AttemptFailure
from coltsfootrill.proxy.attempt import AttemptInProgress
from coltsfootrill.proxy.attempt import make_attempt_event
from coltsfootrill.proxy.attempt import make_final_error
from coltsfootrill.proxy.attempt import make_unknown_error
from coltsfootrill.proxy.attempt import poll_attempts
from coltsfootrill.proxy.attempt_head import encode_attempt_head
from coltsfootrill.proxy.caller_key import KeyCheck
from coltsfootrill.proxy.connection import ConnectError
from coltsfootrill.proxy.connection import SendError
from coltsfootrill.proxy.connection import UpstreamConnection
from coltsfootrill.proxy.dialect import NATIVE_DIALECT
from coltsfootrill.proxy.dialect import Dialect
from coltsfootrill.proxy.headers import list_answer_headers
from coltsfootrill.proxy.outcome import Answer
from coltsfootrill.proxy.outcome import NotRunError
from coltsfootrill.proxy.outcome import ProxyError
from coltsfootrill.proxy.outcome import UnknownOutcomeError
from coltsfootrill.proxy.pools import ConnectionPools
from coltsfootrill.proxy.request import ProxyRequest
from coltsfootrill.proxy.request_guard import RequestGuard
from coltsfootrill.proxy.request_tokens import AttemptTokens
from coltsfootrill.proxy.second_attempt import get_second_attempt_at_ms
from coltsfootrill.proxy.second_attempt import get_silence_timeout_ms
from coltsfootrill.proxy.second_attempt import get_target_left_ms
from coltsfootrill.proxy.statements import read_statements
from coltsfootrill.proxy.unsolicited import UnsolicitedCause
from coltsfootrill.proxy.used_connections import UsedConnections

SEND_MARGIN_MS = 1.0
# A process that has ended refuses connections at once; a host that is gone does not reply at all.
LISTENING_TIMEOUT_MS = 100.0


class RequestForwarder:
    """Makes the attempts of one request. Used by a single thread."""

    def __init__(
        self,
        request: ProxyRequest,
        route: Route,
        controller: AdmissionController,
        *,
        pools: ConnectionPools,
        clock: Clock,
        metrics: Metrics,
        guard: CrashGuard,
        dialect: Dialect = NATIVE_DIALECT,
        service: Service | None = None,
        key_check: KeyCheck,
        tokens: AttemptTokens,
    ) -> None:
        self._request = request
        self._key_check = key_check
        self._tokens = tokens
        self._service = service or route.service
        self._dialect = dialect
        self._guard = RequestGuard(guard, request, dialect.attempt_headers)
        request_id = request.headers.get(dialect.request_id.upper().replace("-", "_"), "")
        self._echo = AnswerEcho(dialect.request_id, request_id)
        self._kind = route.kind
        self._controller = controller
        self._pools = pools
        self._clock = clock
        self._metrics = metrics
        self._history = AttemptHistory(is_retried=request.is_retried)
        self._tried: set[str] = set()
        self._used = UsedConnections(self._echo)
        self._in_progress: list[AttemptInProgress] = []
        self.attempts: list[AttemptEvent] = []

    def run(self) -> Answer:
        """Return the answer; raise ``ProxyError`` if there is none."""
        self._controller.earn_retry_budget()
        failure: AttemptFailure | None = None
        try:
            while True:
                result = self._try_once()
                if isinstance(result, Answer):
                    return result
                if result.kind == "zone-evacuated":
                    # Nothing was sent, so this is no retry.
                    continue
                failure = result
                if not self._controller.may_retry(self._history, failure.kind, self._kind):
                    return self._finish_failed(failure)
                self._count_extra("retry-" + failure.kind)
        except NotRunError as error:
            # Only the last attempt was not run; an earlier one may have been.
            if failure is None or not self._history.may_have_run:
                raise
            if failure.answer is not None:
                return failure.answer
            raise make_unknown_error(failure) from error
        finally:
            self._cancel_in_progress()
            self._tokens.close()

    def _try_once(self) -> Answer | AttemptFailure:
        """Make one attempt, and a second one in parallel if allowed."""
        self._guard.check()
        self._tokens.reserve()
        claim = self._controller.acquire(
            self._service,
            self._kind,
            self._request.times,
            exclude=frozenset(self._tried),
            should_stop_waiting=self._request.monitor.should_stop_waiting,
            organisation=self._request.organisation,
        )
        try:
            # Its key may have been taken away while it waited for this upstream, and it may have
            # crashed others.
            self._key_check.check(self._request)
            self._guard.begin()
            self._tokens.spend()
        except NotRunError:
            self._controller.end(claim, "abandoned")
            raise
        idle_max_ms = self._pools.get_idle_max_ms(is_idempotent=self._kind.idempotent)
        failure = self._send_attempt(claim, idle_max_ms=idle_max_ms)
        if failure is not None:
            return failure
        return self._wait_for_answer()

    def _send_attempt(self, claim: Claim, *, idle_max_ms: float) -> AttemptFailure | None:
        """Send the request to the upstream of ``claim``; return the failure, if any.

        ``idle_max_ms`` is how long a connection from the pool may have been idle; 0 opens a fresh
        one. An idle connection may already be closed or lost, and then it is unknown whether a
        request sent on it was run.
        """
        self._tried.add(claim.load.id)
        left_ms = self._request.times.deadline_ms - self._clock.now_ms()
        if left_ms <= SEND_MARGIN_MS:
            self._tokens.take_back()
            self._controller.end(claim, "abandoned")
            raise self._make_deadline_error()
        pool = self._pools.get(claim.load.address)
        try:
            connection = pool.take_idle(
                idle_max_ms=idle_max_ms,
                is_excluded=self._used.is_ambiguous,
                on_unsolicited=lambda: self._count_unsolicited("idle"),
            ) or pool.open(left_ms)
        except ConnectError as error:
            self._tokens.take_back()
            self._end_failed(claim, "refused")
            return AttemptFailure("refused", str(error))
        if self._controller.is_evacuated(claim):
            pool.give_back(connection)
            self._tokens.take_back()
            self._controller.end(claim, "abandoned")
            return AttemptFailure("zone-evacuated", "the zone of the upstream is evacuated")
        self._used.add(connection)
        self._history.possibly_run += 1
        self._history.sends += 1
        try:
            connection.send(
                self._make_head(claim),
                self._request.body,
                deadline_ms=self._request.times.deadline_ms,
            )
        except SendError as error:
            if not connection.is_fresh:
                self._pools.record_reuse_failure()
            connection.close()
            self._end_failed(claim, "lost", connection)
            return AttemptFailure("lost", str(error))
        attempt = AttemptInProgress(claim, connection, self._clock.now_ms())
        connection.expect(self._request.method, self._echo)
        self._in_progress.append(attempt)
        return None

    def _make_head(self, claim: Claim) -> bytes:
        history = self._history
        return encode_attempt_head(
            self._request,
            self._dialect,
            upstream_id=claim.load.id,
            left_ms=self._request.times.deadline_ms - self._clock.now_ms(),
            is_retried=bool(history.is_retried or history.retries or self._in_progress),
        )

    def _wait_for_answer(self) -> Answer | AttemptFailure:
        """Return the first valid answer of the attempts in progress, or the last failure."""
        failure = AttemptFailure("lost", "no attempt was answered")
        first = self._in_progress[0]
        second_at_ms = get_second_attempt_at_ms(
            self._controller,
            self._kind,
            self._request.times,
            sent_ms=first.sent_ms,
            was_idle=first.was_idle,
        )
        while self._in_progress:
            now_ms = self._clock.now_ms()
            if now_ms >= self._request.times.deadline_ms:
                raise self._make_deadline_error()
            if now_ms >= second_at_ms:
                second_at_ms = self._request.times.deadline_ms
                self._start_second()
            until_ms = min(self._request.times.deadline_ms, second_at_ms)
            ready = poll_attempts(self._in_progress, self._request.monitor, until_ms - now_ms)
            for attempt in ready:
                result = self._read_answer(attempt)
                if isinstance(result, Answer):
                    return result
                failure = result or failure
        return failure

    def _start_second(self) -> None:
        if self._guard.is_suspect():
            # It may crash a second upstream while the first is not lost yet.
            return
        attempt = self._in_progress[0]
        is_silent = attempt.was_idle and (
            self._clock.now_ms() - attempt.sent_ms
            >= get_silence_timeout_ms(self._controller, self._kind)
        )
        if is_silent:
            self._discard_idle(attempt)
        exclude = frozenset() if is_silent else frozenset(self._tried)
        within_ms = math.inf
        if not is_silent:
            within_ms = get_target_left_ms(self._kind, self._request.times, self._clock.now_ms())
        claim = self._controller.try_acquire(
            self._service, self._kind, exclude=exclude, within_ms=within_ms
        )
        if claim is None:
            return
        if not self._tokens.spend_second():
            self._controller.end(claim, "abandoned")
            return
        # Spend the retry budget only once an upstream has been acquired for the attempt.
        if is_silent:
            is_allowed = self._controller.may_retry(self._history, "lost", self._kind)
        else:
            is_allowed = self._controller.may_hedge(self._history, self._kind)
        if not is_allowed or not self._key_check.is_passed(self._request):
            self._tokens.take_back()
            self._controller.end(claim, "abandoned")
            return
        self._count_extra("silent" if is_silent else "hedge")
        self._send_attempt(claim, idle_max_ms=0.0 if is_silent else math.inf)

    def _read_answer(self, attempt: AttemptInProgress) -> Answer | AttemptFailure | None:
        """Read available data of one attempt and classify its answer once complete.

        Returns ``None`` while the answer is incomplete.
        """
        claim = attempt.claim
        try:
            answer = attempt.connection.read_available()
            if answer is None:
                return None
            self._in_progress.remove(attempt)
        except ReadError as error:
            self._in_progress.remove(attempt)
            attempt.connection.close()
            if attempt.was_idle:
                self._pools.record_reuse_failure()
            if isinstance(error, EndedWithoutAnswerError) and not self._is_listening(claim):
                self._guard.record_crash(claim)
            self._end_failed(claim, "lost", attempt.connection)
            return AttemptFailure("lost", str(error))
        report = self._dialect.parse_load(answer.get_header(self._dialect.load))
        read_statements(claim, answer, self._dialect)
        result = self._classify_answer(attempt, answer, report)
        if isinstance(result, Answer):
            result.add_sent_callback(lambda: self._give_back(attempt))
        else:
            self._give_back(attempt)
        return result

    def _is_listening(self, claim: Claim) -> bool:
        """Return whether the upstream still accepts connections, so that it has not crashed."""
        left_ms = max(self._request.times.deadline_ms - self._clock.now_ms(), SEND_MARGIN_MS)
        pool = self._pools.get(claim.load.address)
        return pool.is_listening(min(left_ms, LISTENING_TIMEOUT_MS))

    def _give_back(self, attempt: AttemptInProgress) -> None:
        self._pools.get(attempt.claim.load.address).give_back(attempt.connection)

    def _classify_answer(
        self, attempt: AttemptInProgress, answer: UpstreamAnswer, report: LoadReport | None
    ) -> Answer | AttemptFailure:
        claim, connection = attempt.claim, attempt.connection
        dialect = self._dialect
        if answer.status in dialect.not_run_statuses:
            self._record_attempt(claim, "misdirected", connection)
            self._controller.end(claim, "misdirected")
            self._history.possibly_run -= 1
            self._tokens.take_back()
            return AttemptFailure(
                "misdirected", f"upstream {claim.load.id} is no longer at its address"
            )
        if answer.get_header(dialect.not_run):
            self._record_attempt(claim, "shed", connection)
            self._controller.end(claim, "shed", report)
            self._history.possibly_run -= 1
            self._tokens.take_back()
            return AttemptFailure("shed", f"upstream {claim.load.id} had no capacity")
        is_genuine = not dialect.signature or bool(answer.get_header(dialect.signature))
        if answer.status not in dialect.implied_not_run_statuses and (
            is_genuine or answer.status >= 300
        ):
            self._guard.record_answer()
        is_encoded = bool(dialect.signature) and answer.get_header("Content-Encoding") is not None
        if answer.status < 300 and (not is_genuine or is_encoded):
            self._end_failed(claim, "not-genuine", connection)
            return AttemptFailure(
                "lost",
                f"the answer from upstream {claim.load.id} is not genuine: unsigned or encoded",
            )
        forwarded = Answer(
            status=f"{answer.status} {answer.reason}",
            headers=list_answer_headers(answer.headers, dialect.load),
            body=answer.body,
            outcome="answered",
        )
        if answer.status >= 500 or answer.status in dialect.implied_not_run_statuses:
            self._end_failed(claim, "server-error", connection)
            # Callers would interpret such a status as a guarantee that nothing was run.
            is_misleading = answer.status in dialect.implied_not_run_statuses
            message = f"upstream {claim.load.id} failed with status {answer.status}"
            if self._kind.idempotent:
                return AttemptFailure(
                    "failed-answer", message, None if is_misleading else forwarded
                )
            return AttemptFailure("lost", message) if is_misleading else forwarded
        ended_ms = self._clock.now_ms()
        forwarded.add_sent_callback(lambda: self._end_answered(attempt, report, ended_ms))
        return forwarded

    def _end_answered(
        self, attempt: AttemptInProgress, report: LoadReport | None, ended_ms: float
    ) -> None:
        self._controller.end_answered(attempt.claim, report, ended_ms)
        self._record_attempt(attempt.claim, "answered", attempt.connection)

    def _finish_failed(self, failure: AttemptFailure) -> Answer:
        if failure.answer is not None:
            return failure.answer
        raise make_final_error(failure, self._history, self._controller.get_retry_after_s())

    def _make_deadline_error(self) -> ProxyError:
        for attempt in self._in_progress:
            if attempt.was_idle:
                self._discard_idle(attempt)
        message = "the deadline passed before there was an answer"
        if self._history.may_have_run:
            return UnknownOutcomeError("504 Gateway Timeout", "deadline", message)
        return NotRunError("503 Service Unavailable", "deadline", message, retry_after_s=1)

    def _discard_idle(self, attempt: AttemptInProgress) -> None:
        """Close the idle connections to a silent upstream, and bar those in use from reuse."""
        discarded = self._pools.get(attempt.claim.load.address).discard_idle()
        self._metrics.discarded_connections.inc(discarded + 1)

    def _cancel_in_progress(self) -> None:
        """Close the connections of attempts that are no longer needed."""
        now_ms = self._clock.now_ms()
        for attempt in self._in_progress:
            attempt.connection.close()
            is_slow = now_ms >= self._request.times.deadline_ms or len(self._tried) > 1
            self._controller.end(attempt.claim, "straggled" if is_slow else "abandoned")
            self._record_attempt(attempt.claim, "cancelled", attempt.connection)
        self._in_progress.clear()

    def _end_failed(
        self, claim: Claim, result: str, connection: UpstreamConnection | None = None
    ) -> None:
        self._record_attempt(claim, result, connection)
        self._controller.end(claim, "failed")

    def _record_attempt(
        self, claim: Claim, result: str, connection: UpstreamConnection | None
    ) -> None:
        self._metrics.count_attempt(self._service.id, result)
        if connection is not None:
            for cause, count in connection.unsolicited_by_cause.items():
                self._count_unsolicited(cause, count)
        arrived_ms = self._request.times.arrived_ms
        now_ms = self._clock.now_ms()
        self.attempts.append(
            make_attempt_event(claim, result, connection, arrived_ms=arrived_ms, now_ms=now_ms)
        )

    def _count_unsolicited(self, cause: UnsolicitedCause, count: int = 1) -> None:
        self._metrics.unsolicited_answers.labels(self._service.id, cause).inc(count)

    def _count_extra(self, cause: str) -> None:
        self._metrics.extra_attempts.labels(self._service.id, cause).inc()
