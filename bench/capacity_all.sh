#!/usr/bin/env bash
# Runs all capacity measurements, stores their output in docs/capacity and generates docs/CAPACITY.md from it.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
out=docs/capacity
{ bench/capacity.sh idle; bench/capacity.sh load; } > "$out/figures.jsonl"
"$build/gossip-bench" > "$out/gossip.txt"
"$build/quota-cost-bench" > "$out/quota.txt"
"$build/decision-bench" --benchmark_min_time=0.2 2> /dev/null > "$out/decision.txt"
"$build/journal-bench" --benchmark_min_time=0.2 2> /dev/null > "$out/journal.txt"
"$build/claim-bench" > "$out/claims.txt"
bench/path.sh > "$out/path.txt"
"$out/page.py"
