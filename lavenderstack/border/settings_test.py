"""Tests of the settings and of the documentation page that lists them."""

from pathlib import Path

import pytest
import yaml

from lavenderstack.border.address import Address
from lavenderstack.border.address import parse_address as parse
from lavenderstack.border.settings import SettingsError, load, setting_rows

DOCS = Path(__file__).parents[2] / "docs"
EXAMPLE = DOCS / "settings.example.yaml"


def mistakes_in(tmp_path, text):
    path = tmp_path / "node.yaml"
    path.write_text(text)
    with pytest.raises(SettingsError) as raised:
        load(path)
    return [m.removeprefix(f"{path}: ") for m in raised.value.mistakes]


def example_with(key, value):
    """Return the example with one setting changed, or removed by ``...``."""
    raw = yaml.safe_load(EXAMPLE.read_text())
    *sections, last = key.split(".")
    mapping = raw
    for section in sections:
        mapping = mapping[section]
    if value is ...:
        del mapping[last]
    else:
        mapping[last] = value
    return yaml.safe_dump(raw)


PORT = "expected: port, 0 to 65535"
MISTAKES = [
    ("callers.port", "8080", f"callers.port: wrong; {PORT}"),
    ("callers.port", 65536, f"callers.port: wrong; {PORT}"),
    ("callers.port", True, f"callers.port: wrong; {PORT}"),
    ("callers.port", ..., f"callers.port: missing; {PORT}"),
    ("peers.host", "db.example", "peers.host: wrong; expected: IP number"),
    ("peers", ..., "peers: missing; expected: a section"),
    ("peers", 7, "peers: wrong; expected: a section"),
    ("name", "", "name: wrong; expected: name"),
    ("callers.body_timeout_s", 0, "callers.body_timeout_s: wrong; expected: seconds"),
    ("callers.body_limit_b", -1, "callers.body_limit_b: wrong; expected: bytes"),
    ("callers.colour", 1, "callers.colour: unknown setting"),
    ("platform.urls", [], "platform.urls: wrong; expected: list of http://HOST:PORT"),
    (
        "platform.urls",
        ["ftp://a"],
        "platform.urls.0: wrong; expected: list of http://HOST:PORT",
    ),
    ("seeds", ["10.0.0.1"], "seeds.0: wrong; expected: list of IP:PORT"),
    ("seeds", ["10.0.0.1:0"], "seeds.0: wrong; expected: list of IP:PORT"),
    (
        "administration.operators",
        {"maja": "plain key"},
        "administration.operators.maja: wrong; expected: name: SHA-256 in hex",
    ),
    (
        "log_level",
        "loud",
        "log_level: wrong; expected: debug, info, warning or error",
    ),
]


class TestMistakes:
    @pytest.mark.parametrize(("key", "value", "mistake"), MISTAKES)
    def test_each_is_reported_with_its_key_and_unit(
        self, tmp_path, key, value, mistake
    ):
        assert mistakes_in(tmp_path, example_with(key, value)) == [mistake]

    def test_all_are_reported_at_once(self, tmp_path):
        found = mistakes_in(tmp_path, "name: n1\nsize: 3\ncallers: {host: x}\n")
        assert [m.split(":")[0] for m in found] == [
            "availability_zone",
            "callers.host",
            "callers.port",
            "peers",
            "administration",
            "platform",
            "size",
        ]

    @pytest.mark.parametrize(
        ("text", "mistake"),
        [
            ("name: n1\nname: n2\n", "line 2, column 1: duplicate key"),
            ("name: [", "line 1, column 8: expected the node content, but found"),
            ("", "the file: wrong; expected: a mapping of settings"),
            ("- 1\n", "the file: wrong; expected: a mapping of settings"),
        ],
    )
    def test_a_file_without_a_mapping_of_settings(self, tmp_path, text, mistake):
        (found,) = mistakes_in(tmp_path, text)
        assert found.startswith(mistake)

    def test_a_missing_file(self, tmp_path):
        with pytest.raises(SettingsError, match="No such file"):
            load(tmp_path / "none.yaml")

    def test_values_are_not_repeated(self, tmp_path):
        text = example_with("administration.operators", {"maja": "my plain key"})
        assert "my plain key" not in "".join(mistakes_in(tmp_path, text))


class TestExample:
    def test_it_is_valid(self):
        cfg = load(EXAMPLE)
        assert (cfg.name, cfg.callers.body_timeout_s) == ("n1", 5.0)

    def test_settings_are_immutable(self):
        with pytest.raises(ValueError, match="frozen"):
            load(EXAMPLE).name = "n2"


class TestAddress:
    @pytest.mark.parametrize("host", ["10.0.0.1", "::1"])
    def test_ipv4_and_ipv6(self, host):
        text = f"[{host}]:7001" if ":" in host else f"{host}:7001"
        assert parse(text) == Address(host, 7001)


class TestPage:
    def test_it_lists_every_setting_with_unit_and_default(self):
        page = (DOCS / "SETTINGS.md").read_text()
        table = [line for line in page.splitlines() if line.startswith("| `")]
        expected = []
        for row in setting_rows():
            default = "required" if row.required else f"`{row.default}`"
            cells = (f"`{row.key}`", row.meaning, row.unit, default)
            expected.append(f"| {' | '.join(cells)} |")
        assert table == expected
