"""Tests that this build and the one in production understand each other."""

import json
import os
import subprocess
import sys

import msgspec
import pytest

from lavenderstack.core.messages import Unsupported
from standins import wire_samples
from tests.production import ROOT, check_out, git, has_history, production

SAMPLES = ROOT / "tests" / "samples" / f"{production()}.json"
# Messages that are sent only to a node that has sent one of a later build.
REPLIES_TO_LATER_BUILDS = {Unsupported.__struct_config__.tag}


@pytest.fixture(scope="module")
def production_source(tmp_path_factory):
    """Write out the source of the build in production."""
    if not has_history(production()):
        print(f"no history of {production()}: its build isn't run")
        pytest.skip(f"no history of {production()}")
    return check_out(production(), tmp_path_factory.mktemp("production"))


def run_samples(source, verb, samples=None):
    """Run the samples on another build's source."""
    done = subprocess.run(
        [sys.executable, "-P", wire_samples.__file__, verb],
        cwd=source,
        env={**os.environ, "PYTHONPATH": str(source)},
        input=json.dumps(samples),
        capture_output=True,
        text=True,
        check=True,
    )
    return json.loads(done.stdout)


def fields(data):
    """Return the values of a frame's message, without names."""
    return msgspec.msgpack.decode(bytes.fromhex(data))[2]


class TestProductionCommit:
    """``production`` must name an earlier build that can be built."""

    def test_it_is_an_ancestor_and_not_the_head(self, production_source):
        commit = production()
        assert git("merge-base", "--is-ancestor", commit, "HEAD").returncode == 0
        head, named = (
            git("rev-parse", one).stdout.decode().strip() for one in ("HEAD", commit)
        )
        assert head != named
        assert (production_source / "deploy" / "system.toml").exists()

    def test_its_samples_are_committed_as_it_makes_them(self, production_source):
        made = run_samples(production_source, "make")
        assert made == json.loads(SAMPLES.read_text())


class TestSamples:
    """A message or record that the other build misreads is lost or misunderstood."""

    def test_this_build_reads_all_of_production(self):
        samples = json.loads(SAMPLES.read_text())
        for name, (outcome, again) in wire_samples.read(samples).items():
            assert outcome == "ok", name
            if not name.startswith(wire_samples.RECORD):
                before = fields(samples[name])
                assert fields(again)[: len(before)] == before, name

    def test_production_reads_all_that_this_build_sends_it(self, production_source):
        samples = wire_samples.make()
        read = run_samples(production_source, "read", samples)
        unknown = {name for name, (outcome, _) in read.items() if outcome != "ok"}
        assert unknown <= REPLIES_TO_LATER_BUILDS
        for name, (_, again) in read.items():
            if again:
                after = fields(again)
                assert fields(samples[name])[: len(after)] == after, name
