"""Validates the store's documents and turns them into data classes of the core."""

from collections.abc import Callable
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from lavenderstack.core import view
from lavenderstack.core.documents import BadDocument, DocumentLocation

Name = Annotated[str, Field(min_length=1, max_length=200, pattern=r"^[^\s/]+$")]
Port = Annotated[int, Field(ge=1, le=65535)]


class _Model(BaseModel):
    """Ignores unknown fields, so that documents of newer versions are accepted."""

    model_config = ConfigDict(frozen=True, extra="ignore", allow_inf_nan=False)


class PlanModel(_Model):
    """Limits of a plan.

    ``rate`` is in requests per second, ``burst`` in requests, ``weight`` is the
    relative share under contention and ``queue`` the queue length in requests.
    """

    rate: float = Field(gt=0, le=1e7)
    burst: float = Field(ge=1, le=1e7)
    weight: float = Field(default=1.0, gt=0, le=1000)
    queue: int = Field(default=200, ge=1, le=100_000)


class KeyModel(_Model):
    """The organisation that owns a key, and whether the key has been withdrawn."""

    organisation: Name
    withdrawn: bool = False


class TargetModel(_Model):
    """One database of a group.

    ``slots`` is the number of statements that may run at once, ``connections`` the
    number of connections that may be open.
    """

    name: Name
    zone: Name
    host: str = Field(min_length=1)
    port: Port
    slots: int = Field(ge=1)
    connections: int = Field(ge=1)


class GroupModel(_Model):
    """A database group: its targets and the organisations that may use it.

    The read-only ``open_statements`` may be run without a key.
    """

    targets: tuple[TargetModel, ...] = Field(min_length=1)
    organisations: frozenset[Name] = frozenset()
    open_statements: frozenset[str] = frozenset()


class VmModel(_Model):
    """A VM in the platform's list."""

    zone: Name
    host: str = Field(min_length=1)
    port: Port
    kind: Literal["entry", "target"] = "entry"
    state: Literal["live", "leaving"] = "live"


class SecretModel(_Model):
    """A secret that the nodes share, such as the one for session tokens."""

    secret: str = Field(min_length=16)


class OwnershipModel(_Model):
    """The owner of a shard or group; ``epoch`` counts changes of the owner."""

    node: Name
    epoch: int = Field(ge=1)


class EvacuationModel(_Model):
    """The optional content of a request to evacuate a zone."""

    operator: str = ""


PLANS = TypeAdapter(dict[Name, PlanModel])
BOUGHT = TypeAdapter(dict[Name, Name])


def _parse_plans(_: str, raw: bytes) -> dict[str, view.Plan]:
    models = _parse_list(PLANS, raw)
    return {name: view.Plan(name, **dict(model)) for name, model in models.items()}


def _parse_bought(_: str, raw: bytes) -> dict[str, str]:
    return _parse_list(BOUGHT, raw)


def _parse_list(adapter: TypeAdapter, raw: bytes) -> dict:
    """Parse a list, with or without the wrapper of the operators' API."""
    document = TypeAdapter(dict[str, Any]).validate_json(raw)
    return adapter.validate_python(unwrap_entries(document))


def unwrap_entries(document: Any) -> Any:
    """Return the entries of a list, whether or not it is wrapped.

    A wrapped list has the id of its last change next to its ``entries``. A plan or an
    organisation named ``change_id`` or ``entries`` can't be mistaken for the wrapper,
    because its value has another type.
    """
    if not isinstance(document, dict):
        return document
    entries = document.get("entries")
    is_wrapped = isinstance(document.get("change_id"), str) and isinstance(
        entries, dict
    )
    return entries if is_wrapped else document


def _parse_key(name: str, raw: bytes) -> view.Key:
    model = KeyModel.model_validate_json(raw)
    return view.Key(name, model.organisation, model.withdrawn)


def _parse_group(name: str, raw: bytes) -> view.Group:
    model = GroupModel.model_validate_json(raw)
    targets = tuple(view.Target(**dict(target)) for target in model.targets)
    return view.Group(name, targets, model.organisations, model.open_statements)


def _parse_vm(name: str, raw: bytes) -> view.Vm:
    return view.Vm(name, **dict(VmModel.model_validate_json(raw)))


def _parse_secret(_: str, raw: bytes) -> str:
    return SecretModel.model_validate_json(raw).secret


def _parse_ownership(_: str, raw: bytes) -> view.Ownership:
    return view.Ownership(**dict(OwnershipModel.model_validate_json(raw)))


def _parse_evacuation(name: str, raw: bytes) -> view.EvacuationRequest:
    """Return the request; the entry alone makes it, so a bad value is no error."""
    try:
        operator = EvacuationModel.model_validate_json(raw).operator
    except ValidationError:
        operator = ""
    return view.EvacuationRequest(name, operator)


_PARSERS: dict[str, Callable[[str, bytes], Any]] = {
    "plans": _parse_plans,
    "bought": _parse_bought,
    "keys": _parse_key,
    "groups": _parse_group,
    "vms": _parse_vm,
    "secrets": _parse_secret,
    "duties": _parse_ownership,
    "evacuations": _parse_evacuation,
}


def parse(location: DocumentLocation, raw: bytes) -> Any:
    """Parse the document for a location in the view; raises ``BadDocument``."""
    try:
        return _PARSERS[location.field](location.name, raw)
    except ValidationError as exc:
        raise BadDocument(describe_errors(exc)) from exc


def describe_errors(exc: ValidationError) -> str:
    """Return all errors in one line, without the values (one may be a secret)."""
    errors = exc.errors(include_input=False, include_url=False)
    lines = (
        f"{'.'.join(map(str, e['loc'])) or 'document'}: {e['msg']}" for e in errors
    )
    return "; ".join(lines)
