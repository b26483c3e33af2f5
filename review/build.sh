#!/usr/bin/env bash
# Checks that what the scripts need is there. The stand-ins are Python programs that use its standard library
# only (Python 3.11 or later), so that nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
test -x ../target/release/cactusgladed || { echo "build the deploy file first" >&2; exit 1; }
for file in standin/*.py */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
