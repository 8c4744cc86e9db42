"""Tests of the session token."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lavenderstack.core import token
from lavenderstack.core.position import START, Position
from lavenderstack.core.token import Session, Watermark

SECRETS = [b"new", b"old"]
SESSION = Session("lipa", {"records": Watermark(Position(2, 7), ("a", "b"))})
TOKEN = token.encode(SESSION, SECRETS)

positions = st.builds(Position, st.integers(0, 9), st.integers(0, 2**40))
holders = st.lists(st.sampled_from("abcde"), unique=True).map(sorted).map(tuple)
watermarks = st.dictionaries(
    st.text(max_size=8), st.builds(Watermark, positions, holders)
)


class TestToken:
    @given(watermarks)
    @settings(derandomize=True, max_examples=60, database=None)
    def test_round_trip(self, watermarks_by_group):
        session = Session("brandt", watermarks_by_group)
        text = token.encode(session, SECRETS)
        assert token.decode(text, SECRETS, "brandt") == session

    @pytest.mark.parametrize(
        ("case", "text", "secrets", "organisation", "error"),
        [
            ("empty", "", SECRETS, "lipa", token.ForgedToken),
            ("no base64", "é" * 40, SECRETS, "lipa", token.MalformedToken),
            ("odd length", "a", SECRETS, "lipa", token.MalformedToken),
            ("too long", "a" * 20_000, SECRETS, "lipa", token.MalformedToken),
            ("cut off", TOKEN[:-4], SECRETS, "lipa", token.ForgedToken),
            ("other secret", TOKEN, [b"x"], "lipa", token.ForgedToken),
            ("organisation", TOKEN, SECRETS, "brandt", token.OtherOrganisation),
        ],
    )
    def test_refused(self, case, text, secrets, organisation, error):
        with pytest.raises(error):
            token.decode(text, secrets, organisation)

    def test_any_changed_byte_is_refused(self):
        for index in range(len(TOKEN) - 1):
            other = "A" if TOKEN[index] != "A" else "B"
            with pytest.raises(token.ForgedToken):
                changed = TOKEN[:index] + other + TOKEN[index + 1 :]
                token.decode(changed, SECRETS, "lipa")

    def test_the_previous_secret_is_valid_while_it_is_replaced(self):
        text = token.encode(SESSION, [b"old"])
        assert token.decode(text, SECRETS, "lipa") == SESSION

    def test_the_number_of_groups_is_limited(self):
        full = Session(
            "o", {f"group-{n}": Watermark(Position(1, n)) for n in range(65)}
        )
        with pytest.raises(token.TooManyGroups):
            token.encode(full, SECRETS)
        smaller = token.without_passed(full, {"group-9": Position(1, 9)})
        assert len(token.encode(smaller, SECRETS)) < 2_500


class TestWatermarks:
    @given(watermarks, watermarks)
    @settings(derandomize=True, max_examples=60, database=None)
    def test_a_merged_session_keeps_every_position(self, one, other):
        merged = token.merge(Session("o", one), Session("o", other))
        for part in (one, other):
            for group, watermark in part.items():
                assert merged.min_position(group) >= watermark.position
        assert merged.min_position("never seen by the session") == START

    def test_holders_of_an_older_position_are_dropped(self):
        known = Watermark(Position(1, 900), ("a", "b"))
        assert token.later(known, Watermark(Position(2, 1), ("c",))).holders == ("c",)
        assert token.later(known, Watermark(Position(1, 900), ("c",))).holders == (
            "a",
            "b",
            "c",
        )

    @pytest.mark.parametrize(
        ("passed", "left"),
        [({}, 65), ({"0": Position(1, 4)}, 65), ({"0": Position(1, 5)}, 64)],
    )
    def test_only_passed_watermarks_are_dropped(self, passed, left):
        full = Session("o", {str(n): Watermark(Position(1, 5)) for n in range(65)})
        assert len(token.without_passed(full, passed).watermarks) == left
