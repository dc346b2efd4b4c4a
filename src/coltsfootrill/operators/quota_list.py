"""The list of organisations with their quotas: served by a node, and printed by the command."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from coltsfootrill.operators.client import CallError
from coltsfootrill.operators.client import OperatorClient
from coltsfootrill.operators.exit_codes import ExitCode
from coltsfootrill.operators.http import Handler
from coltsfootrill.operators.http import HttpReply
from coltsfootrill.operators.output import print_json
from coltsfootrill.operators.output import print_table
from coltsfootrill.quotas.use import QuotaUse

QUOTAS_PATH = "/quotas"


def make_quotas_handler(list_use: Callable[[], list[QuotaUse]]) -> Handler:
    """Return the handler that serves the organisations of a node; keys are not shown."""
    return lambda request: HttpReply("200 OK", msgspec.json.encode(list_use()))


def list_quotas(clients: list[OperatorClient], *, as_json: bool) -> int:
    """Print the organisations; attempts are summed over the called nodes."""
    by_name: dict[str, QuotaUse] = {}
    for client in clients:
        for use in _fetch(client):
            known = by_name.get(use.name)
            by_name[use.name] = use if known is None else _add(known, use)
    ordered = [by_name[name] for name in sorted(by_name)]
    if as_json:
        print_json({"organisations": msgspec.to_builtins(ordered)})
        return ExitCode.DONE
    print_table(
        ["organisation", "rate", "burst", "per second", "granted", "refused", "deciders"],
        [
            [use.name, _format_limit(use.rate_per_s), f"{use.burst:g}", f"{use.per_s:.1f}"]
            + [use.granted, use.refused, " ".join(use.deciders)]
            for use in ordered
        ],
    )
    return ExitCode.DONE


def _fetch(client: OperatorClient) -> list[QuotaUse]:
    reply = client.call("GET", QUOTAS_PATH)
    if reply.status != 200:
        raise CallError(f"refused with status {reply.status}")
    try:
        return msgspec.convert(reply.body, list[QuotaUse])
    except msgspec.ValidationError as error:
        raise CallError(f"the answer is not a list of organisations: {error}") from error


def _add(known: QuotaUse, other: QuotaUse) -> QuotaUse:
    """Return the sum of two nodes, with the limits that the first one states."""
    return msgspec.structs.replace(
        known,
        per_s=known.per_s + other.per_s,
        granted=known.granted + other.granted,
        refused=known.refused + other.refused,
    )


def _format_limit(rate_per_s: float) -> str:
    return f"{rate_per_s:g}" if rate_per_s else "none"
