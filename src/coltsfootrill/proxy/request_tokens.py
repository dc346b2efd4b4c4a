"""The tokens that one request needs: one for each attempt that an upstream may run."""

from __future__ import annotations

import math

from coltsfootrill.clock import Clock
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.proxy.outcome import NotRunError
from coltsfootrill.quotas.client import QuotaClient
from coltsfootrill.quotas.errors import QuotaExceededError
from coltsfootrill.quotas.holding import Token

MS_PER_HUNDREDTH = 10.0
REFUSED_REASON = "quota"
# Meanwhile the answers of the first attempt are not read.
SECOND_WAIT_MAX_MS = 20.0


class RequestTokens:
    """Tokens of one request of an organisation with a quota. Used by a single thread."""

    __slots__ = ("_client", "_clock", "_organisation", "_spare", "_spent")

    def __init__(
        self,
        client: QuotaClient,
        organisation: Organisation,
        *,
        clock: Clock,
    ) -> None:
        self._client = client
        self._organisation = organisation
        self._clock = clock
        self._spare: list[Token] = []
        self._spent: list[Token] = []

    def reserve(self) -> None:
        """Get the token of the next attempt; raise ``NotRunError`` if there is none."""
        if self._has_valid():
            return
        try:
            self._spare.append(self._client.acquire(self._organisation))
        except QuotaExceededError as error:
            raise NotRunError(
                "429 Too Many Requests",
                REFUSED_REASON,
                str(error),
                retry_after_s=_round_up_s(error.retry_after_ms),
            ) from error

    def spend(self) -> None:
        """Use a token for an attempt that is sent now.

        One that was reserved too long ago has expired: then another is needed. Raises
        ``NotRunError`` if there is none.
        """
        self.reserve()
        self._spent.append(self._spare.pop())

    def spend_second(self) -> bool:
        """Use a token for an attempt in parallel and return whether there was one."""
        if not self._has_valid():
            try:
                token = self._client.acquire(self._organisation, wait_max_ms=SECOND_WAIT_MAX_MS)
            except QuotaExceededError:
                return False
            self._spare.append(token)
        self._spent.append(self._spare.pop())
        return True

    def take_back(self) -> None:
        """Record that no upstream ran an attempt: it was not sent, or refused."""
        if self._spent:
            self._spare.append(self._spent.pop(0))

    def close(self) -> None:
        """Give the tokens back that no attempt has used."""
        for token in self._spare:
            self._client.give_back(self._organisation, token)
        self._spare.clear()

    def _has_valid(self) -> bool:
        now_ms = self._clock.now_ms()
        self._spare = [token for token in self._spare if token.is_valid(now_ms)]
        return bool(self._spare)


class UnlimitedTokens:
    """Stands for the tokens of a request whose organisation has no quota, or that has none."""

    __slots__ = ()

    def reserve(self) -> None:
        """Do nothing."""

    def spend(self) -> None:
        """Do nothing."""

    def spend_second(self) -> bool:
        """Return true."""
        return True

    def take_back(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


AttemptTokens = RequestTokens | UnlimitedTokens
_UNLIMITED = UnlimitedTokens()


def _round_up_s(duration_ms: float) -> float:
    """Return seconds in hundredths, rounded up: a caller that returns earlier finds no token."""
    return math.ceil(duration_ms / MS_PER_HUNDREDTH) / 100


def make_request_tokens(
    client: QuotaClient | None, organisation: Organisation | None, *, clock: Clock
) -> AttemptTokens:
    """Return the tokens of a request; without a quota nothing is counted."""
    if client is None or organisation is None or not organisation.has_quota:
        return _UNLIMITED
    return RequestTokens(client, organisation, clock=clock)
