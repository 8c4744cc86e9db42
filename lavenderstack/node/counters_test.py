"""Tests that names chosen by other writers change no other time series."""

import pytest
from prometheus_client.parser import text_string_to_metric_families

from lavenderstack.node import counters
from lavenderstack.node.counters import Counters


def labels(organisations):
    """Return the organisations of the latency series, as a scrape shows them."""
    registered = Counters()
    for organisation in organisations:
        registered.record_answer(organisation, "bounded", "done", 0.01)
    families = text_string_to_metric_families(registered.text().decode())
    (latency,) = (f for f in families if f.name == "lavenderstack_request_seconds")
    counts = (s for s in latency.samples if s.name.endswith("_count"))
    return {sample.labels["organisation"]: sample.value for sample in counts}


class TestOrganisationLabels:
    @pytest.mark.parametrize("name", ['a"b', "a\nb", "a\\nb", "a\\", "é", "a{b}", ""])
    def test_any_name_is_one_label_value(self, name):
        expected = name or counters.EVERYONE_LABEL
        assert labels([name, "lipa"]) == {expected: 1, "lipa": 1}

    def test_an_organisation_is_not_counted_as_everyone_or_as_others(self):
        names = ["", "everyone", "others", "%everyone", "%%everyone"]
        assert len(labels(names)) == len(names)

    def test_the_number_of_series_is_bounded(self):
        count = counters.MAX_LABELLED_ORGANISATIONS
        found = labels([*map(str, range(count + 50)), "others"])
        assert len(found) == count + 1
        assert found[counters.OTHERS_LABEL] == 51
