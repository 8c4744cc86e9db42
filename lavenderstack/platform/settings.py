"""The settings of a node on the platform, in the format of ``deploy/node.yaml``.

Every mistake is reported with the name of the setting and the expected value. Unknown
settings are ignored, since the platform may add some.
"""

import os
import re
from pathlib import Path
from typing import Annotated, Any

import msgspec
import yaml
from msgspec import Meta

from lavenderstack.border.address import parse_address
from lavenderstack.core.targets.contention import LoadControl

PATH_VARIABLE = "LAVENDERSTACK_CONFIG"

_JSON_TEXT = re.compile(r'"(?:[^"\\\r\n]|\\.)*"')
# JSON texts may have these as they are; for YAML they are line ends, or forbidden.
_NOT_YAML = re.compile("[\x7f-\x9f\u2028\u2029\ufffe\uffff]")

Name = Annotated[str, Meta(min_length=1)]
Port = Annotated[int, Meta(ge=0, le=65535)]


class SettingsError(Exception):
    """The settings are invalid; ``mistakes`` has a line for each mistake."""

    def __init__(self, mistakes: list[str]):
        super().__init__("; ".join(mistakes))
        self.mistakes = mistakes


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """One node's settings.

    ``callers``, ``readiness``, ``store`` and ``orders`` are addresses, ``IP:PORT``.
    If ``metrics_port`` is 0, no metrics are served. ``descriptors`` is the number of
    file descriptors that the process may use, ``withdrawn_key_limit_ms`` how long a
    withdrawn key may still be accepted, ``stop_limit_s`` how long the node may take to
    stop. ``catalog_limit_ms`` is how long after its acknowledgement a catalog must be
    in force, None if that is as long as a withdrawn key may be accepted.
    ``evacuation_limit_ms`` is how long after its acknowledgement an evacuation must be
    in force, None if there is no such limit. ``target_drain_limit_ms`` is how long
    after its report that it leaves a target may get new work. ``cold_excess`` and
    ``cold_slack`` limit what targets get shortly after their start, None if nothing
    does. ``zones`` maps zones to regions. ``orders_per_s`` is how many promotions the
    platform accepts from all nodes. ``load_control`` tells for which groups load
    control is enabled.
    ``cores`` times ``core_share`` is the processor of the VM in cores, ``link_mbps``
    its link in Mbit/s; None if they aren't known.
    ``first_store_era`` is the era of the store when it was empty.
    """

    name: Name
    availability_zone: Name
    host: Name
    callers: Name
    readiness: Name
    peers_port: Port
    metrics_port: Port = 0
    store: Name
    orders: Name
    descriptors: Annotated[int, Meta(ge=300)] = 1024
    withdrawn_key_limit_ms: Annotated[float, Meta(gt=0)] = 5000.0
    catalog_limit_ms: Annotated[float, Meta(gt=0)] | None = None
    stop_limit_s: Annotated[float, Meta(gt=0)] = 6.0
    log_level: str = "info"
    evacuation_limit_ms: Annotated[float, Meta(gt=0)] | None = None
    target_drain_limit_ms: Annotated[float, Meta(gt=0)] | None = None
    cold_excess: Annotated[float, Meta(gt=0)] | None = None
    cold_slack: Annotated[float, Meta(ge=0)] | None = None
    zones: dict[str, str] = {}
    orders_per_s: Annotated[float, Meta(gt=0)] = 50.0
    load_control: LoadControl = LoadControl.AUTO
    cores: Annotated[float, Meta(gt=0)] | None = None
    core_share: Annotated[float, Meta(gt=0)] | None = None
    link_mbps: Annotated[float, Meta(gt=0)] | None = None
    first_store_era: Annotated[int, Meta(ge=0)] = 0


def _address_mistakes(cfg: Settings) -> list[str]:
    found = []
    for name in ("callers", "readiness", "store", "orders"):
        try:
            parse_address(getattr(cfg, name))
        except ValueError:
            found.append(f"{name}: expected IP:PORT")
    return found


def _field_mistakes(raw: dict) -> list[str]:
    """Return the mistakes found by checking each setting alone."""
    found = []
    for field in msgspec.structs.fields(Settings):
        if field.name not in raw:
            if field.required:
                found.append(f"{field.name}: missing")
            continue
        try:
            msgspec.convert(raw[field.name], field.type)
        except msgspec.ValidationError as exc:
            found.append(f"{field.name}: {exc}")
    return found


def _escape(match: re.Match) -> str:
    return _NOT_YAML.sub(lambda char: f"\\u{ord(char[0]):04x}", match[0])


def _join_surrogates(value: Any) -> Any:
    """Return plain values with characters that were escaped as two halves made whole.

    Raises ``ValueError`` for a half alone, which can't be sent or logged.
    """
    if isinstance(value, str):
        return value.encode("utf-16-le", "surrogatepass").decode("utf-16-le")
    if isinstance(value, dict):
        return {_join_surrogates(k): _join_surrogates(v) for k, v in value.items()}
    if isinstance(value, list):
        return [_join_surrogates(one) for one in value]
    return value


def parse(text: str) -> Settings:
    """Return the settings in a YAML text; raises ``SettingsError``.

    The platform writes texts as JSON, which YAML takes but for some characters.
    """
    try:
        raw = _join_surrogates(yaml.safe_load(_JSON_TEXT.sub(_escape, text)))
    except yaml.YAMLError as exc:
        raise SettingsError([f"not YAML: {exc}"]) from exc
    except ValueError as exc:
        raise SettingsError([f"a value that can't be read: {exc}"]) from exc
    if not isinstance(raw, dict):
        raise SettingsError(["expected a mapping from setting name to value"])
    mistakes = _field_mistakes(raw)
    if mistakes:
        raise SettingsError(mistakes)
    cfg = msgspec.convert(raw, Settings)
    mistakes = _address_mistakes(cfg)
    if mistakes:
        raise SettingsError(mistakes)
    return cfg


def resolve_path(option: str | None) -> Path:
    """Return the path of the settings file.

    That is ``option`` if given, else the value of the environment variable. Raises
    ``SettingsError`` if neither is set.
    """
    path = option or os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError([f"--settings or the variable {PATH_VARIABLE} is required"])
    return Path(path)


def load(path: Path) -> Settings:
    """Read a settings file; raises ``SettingsError``."""
    try:
        return parse(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError([f"{path}: {exc}"]) from exc
