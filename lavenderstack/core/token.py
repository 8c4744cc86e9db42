"""The session token: what a session has written and read, stored by the caller.

A token holds a watermark for each group that the session has used: the position that a
target must have reached before it may serve the session, and the targets known to have
reached it. Any node can serve the session's next request from the token alone, and can
send a read that follows a write directly to one of those targets, without querying
positions first.

A token is a msgpack body and its HMAC-SHA256 tag, in base64url. It is bound to the
organisation whose key came with the request for which it was made. Its positions are
not secret; a modified token is refused as forged.

>>> watermark = Watermark(Position(2, 7), ("a",))
>>> session = with_watermark(Session("lipa"), "records", watermark)
>>> decode(encode(session, [b"secret"]), [b"secret"], "lipa") == session
True
"""

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

import msgspec

from lavenderstack.core.position import START, Position

MAX_GROUPS = 64
MAX_TOKEN_B = 16 * 1024
# Servers and clients of HTTP, aiohttp for one, take header fields of up to 8190 bytes.
MAX_SENT_CHARS = 8000
# No watermark of a group is longer than one with this position and no holders.
_MAX_POSITION = Position(2**63 - 1, 2**63 - 1)
TAG_B = 16
_PURPOSE = b"lavenderstack session 1\0"


class BadToken(Exception):
    """The token can't be used; the request that carries it is refused."""


class MalformedToken(BadToken):
    """The text is not a well-formed token."""


class ForgedToken(BadToken):
    """The token was signed with none of the known secrets."""


class OtherOrganisation(BadToken):
    """The token belongs to a session of another organisation."""


class TooManyGroups(BadToken):
    """The session would have watermarks of more than ``MAX_GROUPS`` groups."""


@dataclass(frozen=True, slots=True)
class Watermark:
    """A position that the session must see, and targets known to hold it."""

    position: Position
    holders: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Session:
    """The watermarks of one session of an organisation, by group."""

    organisation: str
    watermarks: Mapping[str, Watermark] = field(default_factory=dict)

    def min_position(self, group: str) -> Position:
        """Return the position that a target of the group must have reached."""
        watermark = self.watermarks.get(group)
        return watermark.position if watermark else START


class _TokenBody(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    organisation: str
    watermarks: dict[str, tuple[Position, tuple[str, ...]]]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_TokenBody)


def later(one: Watermark, other: Watermark) -> Watermark:
    """Return the watermark with the higher position, or both combined if equal."""
    if one.position != other.position:
        return max(one, other, key=lambda watermark: watermark.position)
    return Watermark(one.position, tuple(sorted({*one.holders, *other.holders})))


def with_watermark(session: Session, group: str, watermark: Watermark) -> Session:
    """Return the session after it has seen a position of a group."""
    known = session.watermarks.get(group)
    merged = watermark if known is None else later(known, watermark)
    return replace(session, watermarks={**session.watermarks, group: merged})


def merge(one: Session, other: Session) -> Session:
    """Return a session that has seen what either has; both of one organisation.

    Raises ``OtherOrganisation`` if they belong to two.
    """
    if one.organisation != other.organisation:
        raise OtherOrganisation("sessions of two organisations")
    for group, watermark in other.watermarks.items():
        one = with_watermark(one, group, watermark)
    return one


def without_passed(session: Session, passed: Mapping[str, Position]) -> Session:
    """Drop watermarks that no longer have an effect.

    ``passed`` gives for each group a position that every one of its targets has
    reached. A watermark at or below it does not affect the choice of a target.
    """
    kept = {
        group: watermark
        for group, watermark in session.watermarks.items()
        if group not in passed or watermark.position > passed[group]
    }
    return replace(session, watermarks=kept)


def _tag(body: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, _PURPOSE + body, "sha256")[:TAG_B]


def _encode_body(session: Session) -> bytes:
    watermarks = {
        group: (watermark.position, watermark.holders)
        for group, watermark in session.watermarks.items()
    }
    return _encoder.encode(_TokenBody(session.organisation, watermarks))


def _can_be_sent(session: Session) -> bool:
    """Return whether the session's token is not too long for a header field."""
    return (len(_encode_body(session)) + TAG_B) * 4 <= MAX_SENT_CHARS * 3


def _without_holders(session: Session) -> Session:
    kept = {
        group: Watermark(watermark.position)
        for group, watermark in session.watermarks.items()
    }
    return replace(session, watermarks=kept)


def has_space(session: Session, group: str) -> bool:
    """Return whether a token can hold any watermark of the group as well.

    Its holders don't count, since ``shortened`` drops them.
    """
    if group not in session.watermarks and len(session.watermarks) >= MAX_GROUPS:
        return False
    later_session = with_watermark(session, group, Watermark(_MAX_POSITION))
    return _can_be_sent(_without_holders(later_session))


def shortened(session: Session) -> Session:
    """Return the session, without holders if its token could not be sent with them.

    Holders only save a query of positions.
    """
    return session if _can_be_sent(session) else _without_holders(session)


def encode(session: Session, secrets: Sequence[bytes]) -> str:
    """Return the session's token, signed with the first secret.

    Raises ``TooManyGroups`` if the session has watermarks of too many groups.
    """
    if len(session.watermarks) > MAX_GROUPS:
        raise TooManyGroups(f"more than {MAX_GROUPS} groups in one session")
    body = _encode_body(session)
    return urlsafe_b64encode(body + _tag(body, secrets[0])).rstrip(b"=").decode()


def decode(text: str, secrets: Sequence[bytes], organisation: str) -> Session:
    """Return the session of a token that was signed with any of the secrets.

    Raises a ``BadToken``. Several secrets are valid while one replaces another.
    """
    if len(text) > MAX_TOKEN_B:
        raise MalformedToken("session token too long")
    try:
        raw = urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except ValueError as exc:
        raise MalformedToken("session token is not base64url") from exc
    body, tag = raw[:-TAG_B], raw[-TAG_B:]
    valid = [hmac.compare_digest(tag, _tag(body, secret)) for secret in secrets]
    if not any(valid):
        raise ForgedToken("signature does not match")
    try:
        fields = _decoder.decode(body)
    except msgspec.MsgspecError as exc:
        raise MalformedToken("session token body is not valid") from exc
    if fields.organisation != organisation:
        raise OtherOrganisation("token of another organisation")
    watermarks = {
        group: Watermark(*watermark) for group, watermark in fields.watermarks.items()
    }
    return Session(organisation, watermarks)
