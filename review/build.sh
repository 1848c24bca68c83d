#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They are Python programs and need no
# build; the programs of the tier come from the deploy file's build in target/.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py */case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -x ../target/bilberrycourse || echo "target/bilberrycourse is missing: run the deploy file's build" >&2
