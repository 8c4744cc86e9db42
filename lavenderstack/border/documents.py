"""The documents of the store: validated here, plain data classes further in."""

from collections.abc import Callable
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from lavenderstack.core import view
from lavenderstack.core.documents import BadDocument, DocumentLocation

Name = Annotated[str, Field(min_length=1, max_length=200, pattern=r"^[^\s/]+$")]
Port = Annotated[int, Field(ge=1, le=65535)]


class _Model(BaseModel):
    """Fields that are not known are let pass, so that a newer writer is no fault."""

    model_config = ConfigDict(frozen=True, extra="ignore", allow_inf_nan=False)


class PlanModel(_Model):
    """What a plan may use: requests/s, requests at once, share, queue length."""

    rate: float = Field(gt=0, le=1e7)
    burst: float = Field(ge=1, le=1e7)
    weight: float = Field(default=1.0, gt=0, le=1000)
    queue: int = Field(default=200, ge=1, le=100_000)


class KeyModel(_Model):
    """Whose key it is and whether it has been withdrawn."""

    organisation: Name
    withdrawn: bool = False


class TargetModel(_Model):
    """One database of a group."""

    name: Name
    zone: Name
    host: str = Field(min_length=1)
    port: Port
    slots: int = Field(ge=1)
    connections: int = Field(ge=1)


class GroupModel(_Model):
    """A database group."""

    targets: tuple[TargetModel, ...] = Field(min_length=1)
    organisations: frozenset[Name] = frozenset()
    open_statements: frozenset[str] = frozenset()


class VmModel(_Model):
    """A VM on the platform's list."""

    zone: Name
    host: str = Field(min_length=1)
    port: Port
    kind: Literal["entry", "target"] = "entry"
    state: Literal["live", "leaving"] = "live"


class SecretModel(_Model):
    """A secret of the service itself."""

    secret: str = Field(min_length=16)


class DutyModel(_Model):
    """Who holds a duty, and how often it has changed hands."""

    node: Name
    epoch: int = Field(ge=1)


PLANS = TypeAdapter(dict[Name, PlanModel])
BOUGHT = TypeAdapter(dict[Name, Name])


def _plans(_: str, raw: bytes) -> dict[str, view.Plan]:
    models = _listed(PLANS, raw)
    return {name: view.Plan(name, **dict(model)) for name, model in models.items()}


def _bought(_: str, raw: bytes) -> dict[str, str]:
    return _listed(BOUGHT, raw)


def _listed(adapter: TypeAdapter, raw: bytes) -> dict:
    """Read a list, wrapped by the administration API or bare."""
    document = TypeAdapter(dict[str, Any]).validate_json(raw)
    return adapter.validate_python(unwrapped(document))


def unwrapped(document: Any) -> Any:
    """Return the entries of a list, whether or not it is wrapped.

    A wrapped list has the id of its last change beside its ``entries``; a plan or an
    organisation of that name can't be taken for it, since their values differ.
    """
    if not isinstance(document, dict):
        return document
    entries = document.get("entries")
    wrapped = isinstance(document.get("change_id"), str) and isinstance(entries, dict)
    return entries if wrapped else document


def _key(name: str, raw: bytes) -> view.Key:
    model = KeyModel.model_validate_json(raw)
    return view.Key(name, model.organisation, model.withdrawn)


def _group(name: str, raw: bytes) -> view.Group:
    model = GroupModel.model_validate_json(raw)
    targets = tuple(view.Target(**dict(target)) for target in model.targets)
    return view.Group(name, targets, model.organisations, model.open_statements)


def _vm(name: str, raw: bytes) -> view.Vm:
    return view.Vm(name, **dict(VmModel.model_validate_json(raw)))


def _secret(_: str, raw: bytes) -> str:
    return SecretModel.model_validate_json(raw).secret


def _duty(_: str, raw: bytes) -> view.Ownership:
    return view.Ownership(**dict(DutyModel.model_validate_json(raw)))


_READERS: dict[str, Callable[[str, bytes], Any]] = {
    "plans": _plans,
    "bought": _bought,
    "keys": _key,
    "groups": _group,
    "vms": _vm,
    "secrets": _secret,
    "duties": _duty,
}


def parse(place: DocumentLocation, raw: bytes) -> Any:
    """Return the document for a place of the view; raise ``BadDocument``."""
    try:
        return _READERS[place.field](place.name, raw)
    except ValidationError as exc:
        raise BadDocument(explained(exc)) from exc


def explained(exc: ValidationError) -> str:
    """Say in a line what was wrong, without the values (one may be a secret)."""
    errors = exc.errors(include_input=False, include_url=False)
    lines = (
        f"{'.'.join(map(str, e['loc'])) or 'document'}: {e['msg']}" for e in errors
    )
    return "; ".join(lines)
