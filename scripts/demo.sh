#!/usr/bin/env bash
# The first session: sets up this checkout and shows a small service on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
exec .venv/bin/python -m standins.demo
