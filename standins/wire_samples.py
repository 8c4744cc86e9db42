"""Makes and reads samples of what builds share: messages and records in the store.

Usage:
  python wire_samples.py make
  python wire_samples.py read

``make`` prints a JSON object: the name of each sample, and its bytes in hex. A message
has its tag as its name, and every field differs from its default; a record has the name
``record:KEY``. ``read`` takes such an object on standard input. It prints for each name
``ok``, ``unknown``, or why it isn't understood, and a message as it was understood, as
bytes in hex again.

It also runs on the source of another build, with that on ``PYTHONPATH``. So it imports
only two modules of ``lavenderstack``, wherever the other build has them.
"""

import dataclasses
import enum
import json
import sys
import types
import typing
from typing import Any

import msgspec

from lavenderstack.node import wire

try:
    from lavenderstack.platform import records
except ImportError:
    # Builds up to 3ec1e96 have the records there.
    from lavenderstack.platform import documents as records

NUMBER = 7
ERA = 0
REVISION = 41
RECORD = "record:"


def sample(kind: Any) -> Any:
    """Return a value of a type, other than the usual defaults."""
    origin, args = typing.get_origin(kind), typing.get_args(kind)
    if origin in (typing.Union, types.UnionType):
        return sample(next(one for one in args if one is not type(None)))
    if origin is not None:
        return _sample_of_container(origin, args)
    if isinstance(kind, type):
        return _sample_of_class(kind)
    return "any"


def _sample_of_container(origin: Any, args: tuple) -> Any:
    if origin is tuple and args[-1] is not Ellipsis:
        return tuple(sample(one) for one in args)
    if origin is dict or (isinstance(origin, type) and issubclass(origin, dict)):
        return {sample(args[0]): sample(args[1])}
    if not isinstance(origin, type) or hasattr(origin, "keys"):
        return {sample(args[0]): sample(args[1])}
    items = [sample(args[0])]
    return items if origin in (list, typing.Sequence) else origin(items)


def _sample_of_class(kind: type) -> Any:
    if issubclass(kind, enum.Enum):
        return list(kind)[-1]
    if issubclass(kind, tuple) and hasattr(kind, "_fields"):
        hints = typing.get_type_hints(kind)
        return kind(*(sample(hints[name]) for name in kind._fields))
    if issubclass(kind, msgspec.Struct) or dataclasses.is_dataclass(kind):
        hints = typing.get_type_hints(kind)
        fields = getattr(kind, "__struct_fields__", None)
        if fields is None:
            fields = [one.name for one in dataclasses.fields(kind)]
        return kind(**{name: sample(hints[name]) for name in fields})
    values = {bool: True, int: 41, float: 1.5, str: "text", bytes: b"bytes"}
    return values.get(kind, "any")


def _records() -> dict[str, bytes]:
    """Return one record of each kind that nodes keep in the store."""
    replica = records.TargetRun("t2", 5)
    replicas = records.ReplicaSet("t1", frozenset({replica}), 40)
    return {
        records.NODES_PREFIX + "n1": records.encode_node(
            records.Vm("n1", "z1", "10.0.0.1", 1, capacity=9.0), ERA, "n1#ab"
        ),
        records.OWNERSHIP_PREFIX + "g": records.encode_ownership("n1#ab", ERA),
        records.REPLICAS_PREFIX + "g": records.encode_replica_set(replicas, ERA),
        records.RESERVE_KEY: records.encode_reserve("n1#ab", {"org": 2.5}, ERA),
        records.ERA_KEY: records.encode_era(3),
    }


def _read_record(key: str, data: bytes) -> object:
    """Return a record as this build understands it, None if it doesn't."""
    if key.startswith(records.NODES_PREFIX):
        return records.decode_node(key, data)
    if key.startswith(records.OWNERSHIP_PREFIX):
        return records.decode_ownership(key, data, REVISION)
    if key.startswith(records.REPLICAS_PREFIX):
        return records.decode_replica_set(key, data)
    if key == records.RESERVE_KEY:
        return records.decode_reserve(key, data, REVISION)
    return records.decode_era(data) if key == records.ERA_KEY else None


def make() -> dict[str, str]:
    """Return the samples in hex, by name."""
    found = {RECORD + key: data.hex() for key, data in _records().items()}
    for kind in wire.MESSAGES:
        frame = wire.Frame(NUMBER, False, sample(kind))
        found[kind.__struct_config__.tag] = wire.encode(frame).hex()
    return found


def read(samples: dict[str, str]) -> dict[str, list[str]]:
    """Return for each name what became of the sample, and what was understood."""
    known = {kind.__struct_config__.tag for kind in wire.MESSAGES}
    found = {}
    for tag, data in samples.items():
        if tag.startswith(RECORD):
            record = _read_record(tag.removeprefix(RECORD), bytes.fromhex(data))
            found[tag] = ["unknown" if record is None else "ok", ""]
            continue
        try:
            frame = wire.decode(bytes.fromhex(data))
            found[tag] = ["ok", wire.encode(frame).hex()]
        except Exception as exc:  # noqa: BLE001 - reported as the outcome
            found[tag] = [repr(exc) if tag in known else "unknown", ""]
    return found


def main(argv: list[str]) -> int:
    """Run the command; return the exit status."""
    result = make() if argv[1:] == ["make"] else read(json.load(sys.stdin))
    json.dump(result, sys.stdout, indent=1, sort_keys=True)
    print()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
