#!/usr/bin/env bash
# Sets up this checkout and demonstrates a small service on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
exec .venv/bin/python -m standins.demo
