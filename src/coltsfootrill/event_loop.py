"""The event loop of a process, which runs in a thread of its own.

The servers of a process share one loop: gRPC supports only one of them well.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Coroutine
from concurrent.futures import Future
from typing import Any
from typing import TypeVar

Result = TypeVar("Result")

_lock = threading.Lock()
_loop: asyncio.AbstractEventLoop | None = None


def get_event_loop() -> asyncio.AbstractEventLoop:
    """Return the running loop of this process, which the first call starts."""
    global _loop
    with _lock:
        if _loop is None:
            _loop = asyncio.new_event_loop()
            threading.Thread(target=_loop.run_forever, name="event-loop", daemon=True).start()
        return _loop


def submit(coroutine: Coroutine[Any, Any, Result]) -> Future[Result]:
    """Run ``coroutine`` on the loop of this process; not to be waited for on the loop itself."""
    return asyncio.run_coroutine_threadsafe(coroutine, get_event_loop())
