"""The UDP socket of an instance, shared by all that tell others something by datagrams."""

from __future__ import annotations

import socket
from collections.abc import Callable

import msgspec
from absl import logging

from coltsfootrill.registry.announcement import split_address

# Entries of loads have 25 bytes with short identifiers of upstreams, and 80 with the longest.
DATAGRAM_MAX_BYTES = 32 * 1024
LOG_PAUSE_S = 30

Handler = Callable[[bytes, str], None]


class DatagramPort:
    """Sends datagrams and hands those that arrive to the handler of their topic.

    The first byte of a datagram is its topic. A handler gets the rest, and the address of the
    sender; it raises ``msgspec.MsgspecError`` for bytes that it cannot read. Datagrams may be
    lost, also here, when the socket's buffer is full.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._handler_by_topic: dict[int, Handler] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def open(self) -> None:
        """Bind the socket."""
        self._socket.bind(split_address(self._address))

    def handle(self, topic: bytes, handler: Handler) -> None:
        """Have ``handler`` take the datagrams of a topic of one byte."""
        self._handler_by_topic[topic[0]] = handler

    def send(self, topic: bytes, payload: bytes, address: str) -> None:
        """Send one datagram; one that cannot be sent now is dropped."""
        try:
            self._socket.sendto(topic + payload, socket.MSG_DONTWAIT, split_address(address))
        except OSError as error:
            logging.log_every_n_seconds(
                logging.WARNING, 'datagram not sent error="%s"', LOG_PAUSE_S, error
            )

    def run(self) -> None:
        """Take datagrams until the process ends."""
        while True:
            data, sender = self._socket.recvfrom(DATAGRAM_MAX_BYTES)
            self._take(data, f"{sender[0]}:{sender[1]}")

    def _take(self, data: bytes, sender: str) -> None:
        handler = self._handler_by_topic.get(data[0]) if data else None
        if handler is None:
            logging.log_every_n_seconds(
                logging.WARNING, 'datagram of no known topic sender="%s"', LOG_PAUSE_S, sender
            )
            return
        try:
            handler(data[1:], sender)
        except msgspec.MsgspecError as error:
            logging.log_every_n_seconds(
                logging.WARNING, 'datagram not readable error="%s"', LOG_PAUSE_S, error
            )
