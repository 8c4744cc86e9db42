"""Reads ``KNOWN-RED.txt``, the list of known failures at the root.

A line that begins with ``test:`` names a test by its pytest node id.
"""

from pathlib import Path

LIST = Path(__file__).parents[1] / "KNOWN-RED.txt"
PREFIX = "test:"


def listed_tests(text: str | None = None) -> set[str]:
    """Return the node ids in the list, by default in the one at the root.

    >>> listed_tests("test: a_test.py::test_b")
    {'a_test.py::test_b'}
    """
    if text is None:
        text = LIST.read_text() if LIST.exists() else ""
    lines = (line.strip() for line in text.splitlines())
    return {line[len(PREFIX) :].strip() for line in lines if line.startswith(PREFIX)}
