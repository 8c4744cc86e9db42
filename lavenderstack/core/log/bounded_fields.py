"""Bounds the size of a log line's fields, which may hold texts that callers chose.

A request id may have up to 1 MiB. A line of that size would take the writer's buffer
from all other lines.
"""

import json
from hashlib import blake2b
from typing import Any

MAX_TEXT_CHARS = 1024  # of one field; ids of ordinary length stay whole
MAX_EXCEPTION_CHARS = 8192  # enough for a traceback of 80 frames
EXCEPTION_FIELD = "exception"
_MAX_INT_BITS = 64
_MARK_CHARS = 64
_DIGEST_B = 16


def bounded(text: str, max_chars: int = MAX_TEXT_CHARS) -> str:
    """Return a text, or a cut form of it with at most ``max_chars`` characters.

    The cut form has the start, the end, the length and a digest of the text, so that
    different texts differ in it too. It isn't cut again.

    >>> bounded("x" * 2000)[473:-473]
    'xxxxxxx...[2000 characters, 94dbbd2ce9c2921179fa840dc22c0ef8]...xxxxxxx'
    """
    if len(text) <= max_chars:
        return text
    digest = blake2b(text.encode(errors="surrogatepass"), digest_size=_DIGEST_B)
    kept = (max_chars - _MARK_CHARS) // 2
    mark = f"...[{len(text)} characters, {digest.hexdigest()}]..."
    return text[:kept] + mark + text[-kept:]


def _text_of(value: Any) -> str:
    """Return a value as text; a value without one must not fail the log call."""
    try:
        return repr(value)
    except Exception:
        return f"<{type(value).__name__}>"


def _bounded_value(value: Any, max_chars: int) -> Any:
    if isinstance(value, str):
        return bounded(value, max_chars)
    if value is None or isinstance(value, float):
        return value
    if isinstance(value, int):
        is_small = value.bit_length() <= _MAX_INT_BITS
        return value if is_small else bounded(hex(value), max_chars)
    if not isinstance(value, dict | list | tuple):
        return bounded(_text_of(value), max_chars)
    try:
        text = json.dumps(value, default=_text_of)
    except (TypeError, ValueError, RecursionError):
        return bounded(_text_of(value), max_chars)
    return json.loads(text) if len(text) <= max_chars else bounded(text, max_chars)


def bounded_fields(fields: dict[str, Any]) -> dict[str, Any]:
    """Return a line's fields, each of a bounded size and with a form in JSON.

    A list or mapping that is too long becomes a cut text.
    """
    return {
        name: _bounded_value(
            value,
            MAX_EXCEPTION_CHARS if name == EXCEPTION_FIELD else MAX_TEXT_CHARS,
        )
        for name, value in fields.items()
    }
