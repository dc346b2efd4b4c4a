"""Requests that cannot be parsed are complete, with an error for their caller."""

from __future__ import annotations

import pytest
from waitress.adjustments import Adjustments

from coltsfootrill.proxy.body_budget import BodyBudget
from coltsfootrill.proxy.body_budget import BodyReservation
from coltsfootrill.proxy.request_parser import RequestParser

# More than Python converts to a number.
LONG_NUMBER = b"1" * 5_000


class TestHeads:
    # Guards against a whole request whose connection ends without an answer.
    @pytest.mark.parametrize(
        "head",
        [
            b"GET http://[x/ HTTP/1.1\r\nHost: a\r\n\r\n",
            b"GET http://[x]/ HTTP/1.1\r\nHost: a\r\n\r\n",
            b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n " + LONG_NUMBER + b"\r\n\r\n",
        ],
        ids=["bracket", "no-address", "folded-length"],
    )
    def test_a_head_that_python_does_not_convert_is_an_error_of_the_request(
        self, head: bytes
    ) -> None:
        parser = RequestParser(Adjustments(), BodyReservation(BodyBudget(0)))
        assert parser.received(head) == len(head)
        assert parser.completed
        assert (parser.error.code, parser.error.reason) == (400, "Bad Request")
