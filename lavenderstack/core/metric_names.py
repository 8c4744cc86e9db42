"""Names and labels of metrics that contain a name chosen by another writer."""

import string
from collections.abc import Container

_PLAIN = frozenset(string.ascii_letters + string.digits + "_-")
_ESCAPE = "%"


def name_part(text: str) -> str:
    """Return a text as one part of a metric's name in statsd, different for each text.

    A dot begins the next part, and a colon, a bar, a blank or a line break ends the
    name. All but ASCII letters, digits, ``_`` and ``-`` are percent-encoded.

    >>> name_part("a.b")
    'a%2Eb'
    """
    return "".join(c if c in _PLAIN else _escaped(c) for c in text)


def _escaped(char: str) -> str:
    raw = char.encode(errors="surrogatepass")
    return "".join(f"{_ESCAPE}{byte:02X}" for byte in raw)


def organisation_label(organisation: str, reserved: Container[str]) -> str:
    """Return the label of an organisation, which is its name.

    One that is named like a label of another meaning, or begins with the sign for
    that, begins with a percent sign.

    >>> organisation_label("everyone", {"everyone"})
    '%everyone'
    """
    if organisation in reserved or organisation.startswith(_ESCAPE):
        return _ESCAPE + organisation
    return organisation
