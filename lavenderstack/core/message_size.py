"""The size of messages between nodes, and the outcome of what doesn't fit into one.

A node closes the stream on which it receives a longer frame, so that every request on
it ends with an unknown outcome. Earlier builds do the same, so the limit can't be
raised by one side. Whatever a caller or a target can make long is therefore checked
before it is sent, also if the connection holder is this node itself: which node holds a
target must not decide whether a statement can run.
"""

from collections.abc import Iterator

from lavenderstack.core.messages import Execute, Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.statement import StatementKind
from lavenderstack.core.work_messages import Work, WorkDone

MAX_FRAME_B = 4 * 1024 * 1024
# Left for the fields of a message that have bounds of their own.
OTHER_FIELDS_B = 64 * 1024
MAX_TEXTS_B = MAX_FRAME_B - OTHER_FIELDS_B
# The longest type and length that precede a text in msgpack.
TEXT_HEADER_B = 5


def text_size_b(text: str) -> int:
    """Return an upper bound of the size of a text in a message.

    >>> text_size_b("abc"), text_size_b("ü")
    (8, 7)
    """
    if text.isascii():
        return len(text) + TEXT_HEADER_B
    return len(text.encode(errors="surrogatepass")) + TEXT_HEADER_B


def _caller_texts(work: Work) -> Iterator[str]:
    statement = work.statement
    yield from (work.request, statement.text, statement.name, statement.body)
    if work.prepared is not None:
        yield work.prepared.shape
    for name, value in work.values.items():
        yield name
        yield value


def too_long_refusal(size_b: int) -> Failed:
    """Return the refusal of a request that no node could receive."""
    detail = (
        f"statement and session values have {size_b} bytes, at most {MAX_TEXTS_B}"
        " can be passed on"
    )
    return Failed(run=False, reason=Reason.BAD_REQUEST, detail=detail)


def work_refusal(work: Work) -> Failed | None:
    """Return the refusal of a statement whose message would be too long, or None."""
    size_b = sum(map(text_size_b, _caller_texts(work)))
    return too_long_refusal(size_b) if size_b > MAX_TEXTS_B else None


def _is_read(request: Message) -> bool:
    """Return whether nothing of a request can outlast its failure.

    That is so for reads, and for all statements of a transaction before its commit,
    since the transaction is rolled back.
    """
    if isinstance(request, Work):
        statement = request.statement
        if statement.kind is StatementKind.COMMIT:
            return False
        return not statement.writes or bool(request.tx or request.opens)
    if isinstance(request, Execute):
        return not request.write or bool(request.transaction)
    return False


def unsendable_reply(request: Message, cause: str) -> Failed:
    """Return the outcome of a request that ran and whose reply can't be passed on."""
    if _is_read(request):
        return Failed(run=True, reason=Reason.STATEMENT_FAILED, detail=cause)
    detail = f"it ran and may have taken effect; {cause}"
    return Failed(run=True, reason=Reason.OUTCOME_UNKNOWN, detail=detail)


def answer_failure(work: Work, answer: WorkDone) -> Failed | None:
    """Return the outcome of a statement whose rows are too long, or None."""
    size_b = sum(map(text_size_b, answer.rows))
    if size_b <= MAX_TEXTS_B:
        return None
    cause = f"the rows have {size_b} bytes, at most {MAX_TEXTS_B} can be passed on"
    return unsendable_reply(work, cause)
