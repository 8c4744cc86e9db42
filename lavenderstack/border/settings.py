"""The settings of one node, read from a YAML file.

All mistakes in a file are reported together, each with the file, the setting and the
expected value. Actual values are left out, so that no secret gets into a log. Unknown
settings are mistakes. ``docs/SETTINGS.md`` lists all settings; a test compares it with
this module.

>>> "callers.port" in {row.key for row in setting_rows()}
True
"""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import yaml
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError
from pydantic_core import PydanticUndefined

from lavenderstack.border.address import checked_ip, parse_address

DIGEST_PATTERN = r"^[0-9a-f]{64}$"
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$"
URL_PATTERN = r"^https?://[^\s/]+/?$"


def _checked_address(text: str) -> str:
    parse_address(text)
    return text


Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Ip = Annotated[str, AfterValidator(checked_ip)]
Port = Annotated[int, Field(ge=0, le=65535)]
Url = Annotated[str, Field(pattern=URL_PATTERN)]
Digest = Annotated[str, Field(pattern=DIGEST_PATTERN)]
Seed = Annotated[str, AfterValidator(_checked_address)]
Seconds = Annotated[float, Field(gt=0, le=3600)]
Bytes = Annotated[int, Field(gt=0, le=16 * 1024 * 1024)]


def _setting(unit: str, meaning: str, **options: Any) -> Any:
    extra = {"unit": unit}
    return Field(description=meaning, json_schema_extra=extra, **options)


def _host(meaning: str) -> Any:
    return _setting("IP number", meaning)


def _port(meaning: str) -> Any:
    return _setting("port, 0 to 65535", meaning)


class Section(BaseModel):
    """Base class of sections; unknown settings and conversions of types are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class Callers(Section):
    """The address for callers, and the limits of one request."""

    host: Ip = _host("where callers are served")
    port: Port = _port("where callers are served; 0 takes a free one")
    body_limit_b: Bytes = _setting(
        "bytes", "longest body of a request", default=256 * 1024
    )
    body_timeout_s: Seconds = _setting(
        "seconds", "longest time for the body of a request", default=5.0
    )
    header_timeout_s: Seconds = _setting(
        "seconds", "longest time for the headers of a request", default=5.0
    )


class Peers(Section):
    """The address where other nodes open streams."""

    host: Ip = _host("where other nodes open streams")
    port: Port = _port("where other nodes open streams, as on the platform's list")


class Administration(Section):
    """The address for operators, and the digests of their keys."""

    host: Ip = _host("where operators are served")
    port: Port = _port("where operators are served; 0 takes a free one")
    operators: dict[Name, Digest] = _setting(
        "name: SHA-256 in hex", "the operators and the digests of their keys"
    )


class Platform(Section):
    """The platform's key-value service."""

    urls: list[Url] = _setting(
        "list of http://HOST:PORT", "the key-value service; tried in turn", min_length=1
    )


class Statsd(Section):
    """The UDP address that metrics are sent to."""

    host: Ip = _host("where metrics are sent")
    port: Port = _port("where metrics are sent, by UDP")


class Settings(Section):
    """All settings of one node."""

    name: Name = _setting("name", "the VM's name on the platform's list")
    availability_zone: Name = _setting("name", "the availability zone of the VM")
    callers: Callers
    peers: Peers
    administration: Administration
    platform: Platform
    seeds: list[Seed] = _setting(
        "list of IP:PORT",
        "streams of nodes to ask for a view when the platform can't be reached",
        default=[],
    )
    statsd: Statsd | None = None
    log_level: Literal["debug", "info", "warning", "error"] = _setting(
        "debug, info, warning or error",
        "the least level that is logged",
        default="info",
    )


@dataclass(frozen=True, slots=True)
class SettingRow:
    """One setting as documented; ``default`` is None for a required setting."""

    key: str
    meaning: str
    unit: str
    default: Any
    required: bool


def _section_of(annotation: Any) -> type[Section] | None:
    for part in (annotation, *getattr(annotation, "__args__", ())):
        if isinstance(part, type) and issubclass(part, Section):
            return part
    return None


def setting_rows(
    model: type[Section] = Settings, prefix: str = ""
) -> Iterator[SettingRow]:
    """Yield all settings in the order of the file, those of sections included."""
    for name, info in model.model_fields.items():
        section = _section_of(info.annotation)
        if section is not None:
            yield from setting_rows(section, f"{prefix}{name}.")
            continue
        required = info.default is PydanticUndefined
        default = None if required else info.default
        unit = info.json_schema_extra["unit"]
        yield SettingRow(prefix + name, info.description, unit, default, required)


class SettingsError(Exception):
    """A settings file is invalid; ``mistakes`` has one line for each mistake."""

    def __init__(self, mistakes: list[str]) -> None:
        super().__init__("\n".join(mistakes))
        self.mistakes = mistakes


class _Loader(yaml.SafeLoader):
    """Refuses duplicate keys, of which PyYAML would silently drop the first."""


def _construct_mapping(loader: _Loader, node: yaml.MappingNode) -> dict:
    seen = set()
    for key, _ in node.value:
        if key.value in seen:
            mark = key.start_mark
            raise yaml.MarkedYAMLError(problem="duplicate key", problem_mark=mark)
        seen.add(key.value)
    return loader.construct_mapping(node, deep=True)


_Loader.add_constructor(
    yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _construct_mapping
)


def _read(path: Path) -> Any:
    try:
        return yaml.load(path.read_text("utf-8"), _Loader)  # noqa: S506
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, "strerror", None) or "not UTF-8 text"
        raise SettingsError([f"{path}: {reason}"]) from exc
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark
        where = f"line {mark.line + 1}, column {mark.column + 1}" if mark else "?"
        raise SettingsError([f"{path}: {where}: {exc.problem}"]) from exc
    except yaml.YAMLError as exc:
        raise SettingsError([f"{path}: not YAML"]) from exc


def _expected_value(loc: tuple) -> str:
    """Describe the value expected at a location in the file."""
    names = [str(part) for part in loc]
    units = {row.key: row.unit for row in setting_rows()}
    for length in range(len(names), 0, -1):
        unit = units.get(".".join(names[:length]))
        if unit is not None:
            return unit
    return "a section" if names else "a mapping of settings"


def _describe_error(path: Path, error: dict) -> str:
    key = ".".join(str(part) for part in error["loc"]) or "the file"
    match error["type"]:
        case "extra_forbidden":
            return f"{path}: {key}: unknown setting"
        case "missing":
            return f"{path}: {key}: missing; expected: {_expected_value(error['loc'])}"
    return f"{path}: {key}: wrong; expected: {_expected_value(error['loc'])}"


def load(path: Path) -> Settings:
    """Load the settings in a file; raises ``SettingsError`` with all mistakes."""
    raw = _read(path)
    try:
        return Settings.model_validate(raw)
    except ValidationError as exc:
        errors = exc.errors(include_url=False, include_input=False)
        raise SettingsError([_describe_error(path, error) for error in errors]) from exc
