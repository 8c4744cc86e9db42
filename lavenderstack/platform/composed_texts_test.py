"""Property tests: a caller's texts stay whole fields of what targets are sent.

``read_query`` reads a message as the protocol's page says: fields separated by one
blank each, the last one up to the end of the line.
"""

from hypothesis import given
from hypothesis import strategies as st

from lavenderstack.core import statement as statements
from lavenderstack.core.position import START, Position
from lavenderstack.core.statement import Prepared, StatementKind
from lavenderstack.platform import statement_size
from lavenderstack.platform.line_protocol import LineBuffer
from lavenderstack.platform.statement_texts import format_query, parse_query

# Characters that separate or end fields elsewhere, and words of the protocol.
PIECES = ["\r", "\n", "\0", "\t", "\x85", "\u2028", " ", "-", "a", "é", "\U0001f600"]
WORDS = ["READ", "WRITE", "SINCE 1.2", "EXEC", "PREPARE", "SET", "QUERY q2", "v"]
TEXTS = st.lists(st.sampled_from(PIECES + WORDS), max_size=8)
TEXTS = TEXTS.map("".join).filter(lambda text: "\r\n" not in text)
FIELDS = TEXTS.filter(lambda text: text and " " not in text)
VERBS = ["READ", "WRITE", "SET", "PREPARE", "EXEC", "BEGIN", "COMMIT", "CLOSE", ""]
LINES = st.builds(
    "{} {} {} {} {}".format, TEXTS, st.sampled_from(VERBS), TEXTS, TEXTS, TEXTS
).filter(lambda line: "\r\n" not in line)


def read_query(message):
    """Return the id and text of the only message there is."""
    (line,) = LineBuffer().feed(message.encode())
    word, request, text = line.split(" ", 2)
    assert word == "QUERY"
    return request, text


class TestComposedTexts:
    """A text that is taken for two fields runs as another statement (issue 50)."""

    @given(LINES, st.sampled_from([START, Position(3, 1207)]))
    def test_reads_and_writes_are_sent_on_unchanged_or_refused(self, line, position):
        query = parse_query(line)
        sent_kinds = (StatementKind.READ, StatementKind.WRITE, StatementKind.COMMIT)
        if query.statement is None or query.statement.kind not in sent_kinds:
            return
        request, text = read_query(
            format_query(query.request, query.statement, position)
        )
        prefix = "" if position == START else "SINCE 3.1207 "
        assert f"{request} {text}" == line.replace(" ", f" {prefix}", 1)
        assert request not in ("", "-")

    @given(FIELDS, TEXTS)
    def test_a_target_reads_the_name_and_value_of_the_caller(self, name, value):
        query = parse_query(f"q1 SET {name} {value}")
        message = format_query("", statements.set_value(name, value), START)
        assert (query.statement.name, query.statement.body) == (name, value)
        request, text = read_query(message)
        assert (request, text.split(" ", 2)) == ("-", ["SET", name, value])

    @given(FIELDS, st.booleans(), TEXTS.filter(bool), FIELDS, TEXTS)
    def test_an_execution_keeps_shape_item_and_data(self, name, writes, shape, item, d):
        verb = "WRITE" if writes else "READ"
        defined = parse_query(f"q1 PREPARE {name} {verb} {shape}").statement
        executed = parse_query(f"q2 EXEC {name} {item} {d}").statement
        assert defined.name == executed.name == name
        prepared = Prepared(defined.writes, defined.body)
        sent = [
            statements.prepare(prepared),
            statements.execute(prepared, f"{item} {d}"),
        ]
        assert executed.body == sent[1].body
        _, text = read_query(format_query("", sent[0], START))
        shared = prepared.shared_name
        assert text.split(" ", 2) == ["PREPARE", shared, f"{verb} {shape}"]
        request, text = read_query(format_query("q2", sent[1], START))
        assert (request, text.split(" ", 3)) == ("q2", ["EXEC", shared, item, d])

    @given(st.lists(st.tuples(st.booleans(), TEXTS), max_size=20, unique=True))
    def test_no_two_shapes_share_a_name(self, shapes):
        names = {Prepared(*one).shared_name for one in shapes}
        assert len(names) == len(shapes)
        assert all(name.isascii() and len(name.split()) == 1 for name in names)

    @given(LINES)
    def test_short_statements_are_never_too_long(self, line):
        query = parse_query(line)
        assert query.statement is None or not statement_size.error(query, {})
