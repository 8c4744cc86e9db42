"""Tests of odd texts in the settings, as the platform fills in the template."""

import json
import re
from pathlib import Path

import pytest

from lavenderstack.platform import settings

TEMPLATE = Path(__file__).parents[2] / "deploy" / "node.yaml"
TEXTS = [
    *('a"b', "a: b #c", "{x}", "[y", "a\nlog_level: debug", "a\r\nb", "a\\b", "a/b"),
    *("{{node}}", "š", "a\x7fb", "a\x85b", "a\u2028b", "a\u2029b", "\ufeffa", "a\x00"),
    *("😀", "a\ufffeb", "null", "true", "12", "~", " a ", "a\tb", "%41", "&a *b !c"),
]
FIELDS = {
    "ip": "10.1.0.26",
    "listen": {"front": "10.1.0.26:8465", "ready": "10.1.0.26:8460"},
    "internal_ports": [7560, 7575],
    "limits": {"cpu_share": 0.537, "cores": 2, "max_fds": 4300, "link_mbps": 1000.0},
    "bounds": {"revoke_ms": 5000, "config_ms": 3000, "grace_s": 6, "drain_ms": 7000},
    "platform": {"addr": "10.200.1.7:8466"},
    "cloud": {"addr": "10.200.0.2:8466", "duty_per_s": 50.0},
}


def fill(template, fields, **options):
    """Fill in a template as the platform does: no value is escaped."""

    def value_of(match):
        path, _, form = match[1].partition("|")
        value = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
        if form == "json":
            return json.dumps(value, **options)
        return "" if value is None else str(value)

    return re.sub(r"\{\{(.+?)\}\}", value_of, template)


class TestTemplate:
    @pytest.mark.parametrize("is_ascii", [True, False])
    @pytest.mark.parametrize("separators", [(", ", ": "), (",", ":")])
    @pytest.mark.parametrize("text", TEXTS, ids=ascii)
    def test_a_text_is_one_setting_unchanged(self, text, separators, is_ascii):
        """One that isn't becomes another zone or setting, or the node won't start."""
        fields = FIELDS | {"node": text, "zone": text, "zones": {text: text, "z": "r"}}
        options = {"ensure_ascii": is_ascii, "separators": separators}
        cfg = settings.parse(fill(TEMPLATE.read_text(), fields, **options))
        assert (cfg.name, cfg.availability_zone) == (text, text)
        assert cfg.zones == {text: text, "z": "r"}
        assert (cfg.log_level, cfg.descriptors) == ("info", 4300)

    def test_every_text_of_the_template_is_filled_in_as_json(self):
        plain = re.findall(r"\{\{([^|}]+)\}\}", TEMPLATE.read_text())
        numbers = ("internal_ports.", "limits.", "bounds.", "cloud.duty_per_s")
        assert [one for one in plain if not one.startswith(numbers)] == []

    def test_half_a_character_is_a_mistake(self):
        """It can't be sent or logged."""
        fields = FIELDS | {"node": "a\ud800", "zone": "z", "zones": {}}
        with pytest.raises(settings.SettingsError):
            settings.parse(fill(TEMPLATE.read_text(), fields))
