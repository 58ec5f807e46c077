#!/bin/sh
# Runs this case. 0: the rule held, 1: it was broken, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
exec .venv/bin/python review/3/case.py
