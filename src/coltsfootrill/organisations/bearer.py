"""The key in an ``Authorization`` header of the scheme ``Bearer``."""

from __future__ import annotations

import re

KEY_MAX_CHARS = 256
# A second header is joined with a comma and a blank, and no key contains a blank.
_CREDENTIALS = re.compile(rf"bearer[ \t]+([!-~]{{1,{KEY_MAX_CHARS}}})", re.IGNORECASE | re.ASCII)


def parse_bearer_key(authorization: str) -> str | None:
    """Return the key in the value of the header; ``None`` unless it is exactly one key."""
    match = _CREDENTIALS.fullmatch(authorization)
    return None if match is None else match.group(1)
