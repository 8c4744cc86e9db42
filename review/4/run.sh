#!/usr/bin/env bash
# Runs the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. With TROUBLE=0 it runs without the disruption.
cd "$(dirname "$0")/../.."
PYTHONPATH=target/deps:. exec python3 review/4/case.py
