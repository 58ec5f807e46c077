#!/bin/sh
# Builds what the scripts start beside the program: the stand-ins of the project and those of this review. Both are
# Python and need nothing beyond the environment that the build of the deploy file has made.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -m compileall -q curlewhall/standins curlewhall/codecs curlewhall/wire review
.venv/bin/python -c "import uvloop, httptools"
