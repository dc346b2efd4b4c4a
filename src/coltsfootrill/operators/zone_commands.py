"""Implementations of the operators' commands for availability zones; each returns an exit code."""

from __future__ import annotations

from http import HTTPStatus
from typing import Literal

from coltsfootrill.operators.client import CallReply
from coltsfootrill.operators.client import OperatorClient
from coltsfootrill.operators.commands import call_until_decided
from coltsfootrill.operators.exit_codes import ExitCode
from coltsfootrill.operators.output import print_error
from coltsfootrill.operators.output import print_json
from coltsfootrill.operators.output import print_table


def order_zone(
    clients: list[OperatorClient],
    action: Literal["evacuate", "restore"],
    zone: str,
    *,
    as_json: bool,
) -> int:
    """Evacuate or restore a zone at the first control replica that reaches a quorum."""
    reply = call_until_decided(clients, f"/zones/{action}/{zone}", b"")
    if isinstance(reply, ExitCode):
        return reply
    return _print_zones(reply, as_json=as_json)


def list_zones(client: OperatorClient, *, as_json: bool) -> int:
    """Print the evacuated zones, each with the number of the order since which it is."""
    reply = client.call("GET", "/zones")
    if reply.status == HTTPStatus.SERVICE_UNAVAILABLE:
        print_error(reply.body["message"])
        return ExitCode.NO_ANSWER
    return _print_zones(reply, as_json=as_json)


def _print_zones(reply: CallReply, *, as_json: bool) -> int:
    is_done = reply.status == HTTPStatus.OK
    if as_json:
        print_json(reply.body)
    elif is_done:
        rows = [[zone, number] for zone, number in reply.body["evacuated"].items()]
        print_table(["evacuated zone", "since order"], rows)
        print(f"newest order: {reply.body['zone_order']}")
    else:
        print_error(f"{reply.body.get('result', 'refused')}: {reply.body.get('message', '')}")
    return ExitCode.DONE if is_done else ExitCode.REFUSED
