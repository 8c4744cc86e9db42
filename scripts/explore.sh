#!/usr/bin/env bash
# Explores the state machines that safety depends on, with more steps than the tests:
# which replica may be promoted, how long a key is valid, and which node holds a
# target's connections.
# Usage: scripts/explore.sh [STEPS]
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
export LAVENDERSTACK_DEPTH="${1:-10}"
.venv/bin/python -m pytest -q \
  lavenderstack/core/failover/replacement_test.py \
  lavenderstack/core/view_proof_test.py \
  lavenderstack/core/targets/connection_share_test.py
