#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves out the disruption.
set -u
command -v python3 >/dev/null || exit 2
exec python3 -B "$(dirname "$0")/case.py"
