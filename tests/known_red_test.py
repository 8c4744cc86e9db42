"""Tests that the list of known failures names tests that exist."""

from pathlib import Path

from tests.known_red import listed_tests

ROOT = Path(__file__).parents[1]


class TestList:
    def test_lines_that_name_tests_are_found(self):
        text = "Findings.\n\ntest: a_test.py::TestB::test_c\nSeen: red. Issue 1.\n"
        assert listed_tests(text) == {"a_test.py::TestB::test_c"}

    def test_every_listed_test_exists(self):
        for name in listed_tests():
            path, *_, function = name.split("::")
            assert f"def {function.partition('[')[0]}(" in (ROOT / path).read_text()
