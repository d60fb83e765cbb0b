#!/usr/bin/env bash
# Checks what the scripts of cases 11 to 15 start: their stand-ins are Python files, which need no build, and the entry daemon comes from
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import ast
import pathlib

for path in [*pathlib.Path("review/standins-3").glob("*.py"), *(pathlib.Path(f"review/{n}/run.py") for n in range(11, 16))]:
    if path.exists():
        ast.parse(path.read_text(encoding="utf-8"))
CHECK
[ -x target/coriandermount-entry ] || { echo "target/coriandermount-entry is missing: run the build of deploy/system.toml first" >&2; exit 1; }
