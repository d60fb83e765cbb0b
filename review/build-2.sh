#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python programs that need no build and no package: those of tests/soak and of
# review/standins-2. This checks that they can be read by the interpreter that will run them.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in tests/soak/wire.py tests/soak/store.py tests/soak/workers.py review/standins-2/*.py review/{6,7,8,9,10}/case.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
echo "stand-ins are ready"
