"""Texts of other writers as an operator's terminal shows them."""


def printable(text: str) -> str:
    r"""Return a text as one line without characters that act on a terminal.

    Control characters, line breaks, marks of direction and lone surrogates are escaped.

    >>> printable("a\x1b[0m")
    'a\\x1b[0m'
    """
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() else ascii(c)[1:-1] for c in text)
