#!/usr/bin/env bash
# Builds build/lavenderstack.pyz, one file with the product and its libraries. It needs
# Python 3.11 on the VM and unpacks itself into SHIV_ROOT; on a VM without a disk set
# that to a folder in memory.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
mkdir -p build
.venv/bin/shiv --quiet --compressed --console-script lavenderstack \
    --python "/usr/bin/env python3" --output-file build/lavenderstack.pyz . \
    2>&1 | { grep -v "is ignored: it is neither a file nor a directory" || true; }
ls -l build/lavenderstack.pyz | awk '{print $9, $5, "bytes"}'
