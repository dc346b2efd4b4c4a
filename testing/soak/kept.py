"""Checks that a request on a kept connection is answered, or that the connection ends at once."""

from __future__ import annotations

import signal
import socket
import struct

from testing.nodes import Node
from testing.soak.history import STALE_AFTER_FREEZE_MAX_MS
from testing.soak.history import History
from testing.soak.history import Reply
from testing.soak.history import now_ms

# The connection of a request that crosses its end, and is not passed on, ends within this time.
CROSSED_MAX_MS = 200.0
# In the ``tcp_info`` of Linux: how long ago data was sent, and an acknowledgement arrived.
_SINCE_MS = struct.Struct("=I8xI")
_SINCE_MS_OFFSET = 44


class KeptJudge:
    """Reports requests whose connection ended late; the history, those that reached an upstream.

    ``judged_count`` counts those at undisturbed nodes, ``lost_count`` those that are reported.
    """

    def __init__(self, history: History) -> None:
        self.history = history
        self.judged_count = 0
        self.lost_count = 0

    def check(
        self,
        request_id: str,
        node: Node,
        reply: Reply,
        sent_ms: float,
        at_ms: float,
        *,
        has_ended: bool = True,
    ) -> None:
        """Check a request by when its last byte was sent, and its answer or the end came.

        Without ``has_ended`` there was a reset, or a part of an answer. A violation states this,
        and when the node got which signals, counted from the last byte.
        """
        since_ms = sent_ms - STALE_AFTER_FREEZE_MAX_MS
        signals = [number for sent, number in list(node.signals) if since_ms <= sent <= at_ms]
        # A node that stays suspended ends no connection, so it was killed or resumed meanwhile.
        if any(number != signal.SIGTERM for number in signals):
            return
        self.judged_count += 1
        self.history.undisturbed_ids.add(request_id)
        if reply.status == 0 and at_ms - sent_ms > CROSSED_MAX_MS:
            self.lost_count += 1
            got = [f"{each.name} at {at - sent_ms:.0f}" for at, each in list(node.signals)]
            self.history.add_violation(
                f"{request_id} got no answer and no refusal: {node.host} "
                f"{'ended' if has_ended else 'broke off'} its connection "
                f"{at_ms - sent_ms:.0f} ms after its last byte; signals: {', '.join(got) or 'none'}"
            )


def read_end_ms(sock: socket.socket) -> tuple[float, float]:
    """Return when the last byte was sent, or sent again, and when the end of the stream arrived.

    The kernel has noted both, so it does not matter how late this process looks. Without a reset,
    the end comes with an acknowledgement; one that follows makes it seem later, never sooner.
    """
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _SINCE_MS_OFFSET + _SINCE_MS.size)
    at_ms = now_ms()
    sent_for_ms, ended_for_ms = _SINCE_MS.unpack_from(info, _SINCE_MS_OFFSET)
    return at_ms - sent_for_ms, at_ms - ended_for_ms
