#!/usr/bin/env bash
# Sets up this checkout and passes every test. Arguments go to pytest.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
exec .venv/bin/python -m pytest "$@"
