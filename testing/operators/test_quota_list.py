from __future__ import annotations

import json

import pytest

from coltsfootrill.operators.client import CallError
from coltsfootrill.operators.client import OperatorClient
from coltsfootrill.operators.exit_codes import ExitCode
from coltsfootrill.operators.http import HttpApp
from coltsfootrill.operators.http import HttpServer
from coltsfootrill.operators.quota_list import QUOTAS_PATH
from coltsfootrill.operators.quota_list import list_quotas
from coltsfootrill.operators.quota_list import make_quotas_handler
from coltsfootrill.quotas.use import QuotaUse
from coltsfootrill.settings import Address
from testing.processes import get_free_port


def _make_use(name: str, *, granted: int, rate_per_s: float = 10) -> QuotaUse:
    return QuotaUse(
        name=name,
        rate_per_s=rate_per_s,
        burst=5,
        per_s=1.5,
        granted=granted,
        refused=2,
        deciders=["n1", "n2"],
    )


def _serve(*uses: QuotaUse) -> OperatorClient:
    app = HttpApp(None)
    app.add("GET", QUOTAS_PATH, make_quotas_handler(lambda: list(uses)))
    address = Address("127.0.0.1", get_free_port())
    HttpServer(app, address, threads=1).start()
    return OperatorClient(address, token="", operator="")


def test_requests_are_summed_over_the_nodes(capsys: pytest.CaptureFixture[str]) -> None:
    clients = [
        _serve(_make_use("b", granted=3), _make_use("a", granted=1)),
        _serve(_make_use("a", granted=10)),
    ]
    assert list_quotas(clients, as_json=True) == ExitCode.DONE
    listed = json.loads(capsys.readouterr().out)["organisations"]
    assert [(item["name"], item["granted"], item["refused"]) for item in listed] == [
        ("a", 11, 4),
        ("b", 3, 2),
    ]


def test_the_table_names_limits_and_deciders(capsys: pytest.CaptureFixture[str]) -> None:
    client = _serve(_make_use("a", granted=1), _make_use("free", granted=0, rate_per_s=0))
    list_quotas([client], as_json=False)
    header, first, second = capsys.readouterr().out.splitlines()
    assert header.split()[0] == "organisation"
    assert first.split() == ["a", "10", "5", "1.5", "1", "2", "n1", "n2"]
    assert second.split()[:2] == ["free", "none"]


def test_an_address_that_does_not_list_organisations_is_an_error() -> None:
    app = HttpApp(None)
    address = Address("127.0.0.1", get_free_port())
    HttpServer(app, address, threads=1).start()
    client = OperatorClient(address, token="", operator="")
    with pytest.raises(CallError):
        list_quotas([client], as_json=False)
