#!/usr/bin/env bash
# Prepares the stand-ins. They are Python programs without dependencies, so this only checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
for path in sorted(glob.glob("standins/*.py") + glob.glob("*/case.py")):
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
CHECK
