#!/usr/bin/env bash
# Builds what the scripts of the cases start: the stand-ins of this review and the
# project's own that they use. They are Python and need only what the build of
# deploy/system.toml has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -m compileall -q review standins
PYTHONPATH=target/deps:. python3 -c "import review.world"
