#!/usr/bin/env bash
# Creates the virtual environment of this checkout if needed, and updates it.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x .venv/bin/python ]; then
    python3 -m venv .venv
fi
if ! cmp -s requirements-dev.txt .venv/installed-dev.txt ||
    ! cmp -s requirements.txt .venv/installed.txt; then
    .venv/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt 2>&1 |
        { grep -v "is ignored: it is neither a file nor a directory" || true; }
    cp requirements-dev.txt .venv/installed-dev.txt
    cp requirements.txt .venv/installed.txt
fi
