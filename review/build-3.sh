#!/usr/bin/env bash
# The stand-ins of the scripts in review/11 to review/15 are Python programs in
# review/common-3 and need no build; checks that Python can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast, glob, sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for name in glob.glob("common-3/*.py") + glob.glob("1[1-5]/*.py"):
    with open(name) as source:
        ast.parse(source.read(), name)
PYTHON
