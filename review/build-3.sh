#!/usr/bin/env bash
# Builds what the scripts of the third review start: the stand-ins are Python modules.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps"
python3 -m compileall -q standins review/world3.py review/platform3.py review/11 review/12 review/13
python3 -c "import aiohttp, review.platform3"
