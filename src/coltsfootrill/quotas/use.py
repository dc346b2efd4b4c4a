"""What an instance tells operators about the quota of an organisation."""

from __future__ import annotations

import msgspec


class QuotaUse(msgspec.Struct, frozen=True):
    """The limits of an organisation and what one instance has done for it since its start.

    ``granted`` and ``refused`` count attempts, ``per_s`` is the average of the last second of both.
    A ``rate_per_s`` of 0 means no limit; then nothing is counted and there are no ``deciders``.
    """

    name: str
    rate_per_s: float
    burst: float
    per_s: float
    granted: int
    refused: int
    deciders: list[str]
