"""The UDP socket of an instance, shared by all components that send datagrams."""

from __future__ import annotations

import socket
from collections.abc import Callable

import msgspec
from absl import logging

from coltsfootrill.registry.announcement import split_address

# A load entry takes 25 bytes with a short upstream identifier and 80 with the longest one.
DATAGRAM_MAX_BYTES = 32 * 1024
LOG_INTERVAL_S = 30

Handler = Callable[[bytes, str], None]


class DatagramPort:
    """Sends datagrams and passes received ones to the handler of their topic.

    The first byte of a datagram is its topic. A handler gets the remaining bytes and the address
    of the sender; it raises ``msgspec.MsgspecError`` for bytes that it cannot decode. Datagrams
    may be lost in the network, or here when the socket buffer is full.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._handler_by_topic: dict[int, Handler] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def open(self) -> None:
        """Bind the socket."""
        self._socket.bind(split_address(self._address))

    def handle(self, topic: bytes, handler: Handler) -> None:
        """Register the handler for the datagrams of a topic, which is one byte."""
        self._handler_by_topic[topic[0]] = handler

    def send(self, topic: bytes, payload: bytes, address: str) -> None:
        """Send one datagram, or drop it if it cannot be sent without blocking."""
        try:
            self._socket.sendto(topic + payload, socket.MSG_DONTWAIT, split_address(address))
        except OSError as error:
            logging.log_every_n_seconds(
                logging.WARNING, 'datagram not sent error="%s"', LOG_INTERVAL_S, error
            )

    def run(self) -> None:
        """Receive and dispatch datagrams until the process ends."""
        while True:
            data, sender = self._socket.recvfrom(DATAGRAM_MAX_BYTES)
            self._dispatch(data, f"{sender[0]}:{sender[1]}")

    def _dispatch(self, data: bytes, sender: str) -> None:
        handler = self._handler_by_topic.get(data[0]) if data else None
        if handler is None:
            logging.log_every_n_seconds(
                logging.WARNING,
                'datagram with unknown topic dropped sender="%s"',
                LOG_INTERVAL_S,
                sender,
            )
            return
        try:
            handler(data[1:], sender)
        except msgspec.MsgspecError as error:
            logging.log_every_n_seconds(
                logging.WARNING, 'datagram could not be decoded error="%s"', LOG_INTERVAL_S, error
            )
