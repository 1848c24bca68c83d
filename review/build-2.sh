#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 10. They are Python programs in
# common-2/ and in the cases' folders, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common-2/*.py {6,7,8,9,10}/*.py <<'CHECK'
import os, sys
assert sys.version_info >= (3, 11), "tomllib needs Python 3.11"
for path in filter(os.path.exists, sys.argv[1:]):
    with open(path) as source:
        compile(source.read(), path, "exec")
CHECK
