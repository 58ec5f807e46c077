#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python, and run with the environment of the deploy
# file's build: compiled here, and imported once.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "the build of the deploy file has not run"; exit 2; }
.venv/bin/python -m compileall -q review/common-2 review/6 review/7 review/8 review/9 review/10 || exit 2
.venv/bin/python -c "import sys; sys.path.insert(0, 'review/common-2'); import stand"
