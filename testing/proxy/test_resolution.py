from __future__ import annotations

import socket

import pytest

from coltsfootrill.clock import ManualClock
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.platform.dialect import coltsfootrill_dialect
from coltsfootrill.plugins import collect_schemes
from coltsfootrill.plugins import load_plugins
from coltsfootrill.proxy.block_buffer import BlockBuffer
from coltsfootrill.proxy.caller_request import CallerRequest
from coltsfootrill.proxy.disconnect_monitor import DisconnectMonitor
from coltsfootrill.proxy.outcome import NotRunError
from coltsfootrill.proxy.request_record import RequestRecord
from coltsfootrill.proxy.resolution import RequestResolver
from testing.proxy.instance import make_manifest


class TestWithoutOrganisations:
    def test_a_missing_route_is_reported_at_once_though_a_newer_manifest_is(self) -> None:
        # On a clock that stands still a wait would not end.
        clock = ManualClock()
        manifests = ManifestHolder(collect_schemes(load_plugins()))
        manifests.adopt(make_manifest(1))
        resolver = RequestResolver(
            manifests,
            dialect=coltsfootrill_dialect(),
            clock=clock,
            get_reported_version=lambda: 2,
            describe_manifest=lambda: None,
        )
        caller, sock = socket.socketpair()
        with caller, sock:
            request = CallerRequest(
                method="GET",
                target="/nowhere",
                path="/nowhere",
                headers={},
                body=BlockBuffer(),
                arrived_ms=clock.now_ms(),
                refusal=None,
                monitor=DisconnectMonitor(sock, None, is_ending=lambda: False),
            )
            with pytest.raises(NotRunError) as caught:
                resolver.resolve(request, RequestRecord(request))
        assert caught.value.reason == "no-route"
