#!/usr/bin/env bash
# Sets up this checkout and runs the tests. Arguments are passed to pytest.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
exec .venv/bin/python -m pytest "$@"
