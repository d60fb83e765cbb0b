#!/usr/bin/env bash
# Measures the path of a request through a node: starts a node on two cores, 16 stand-in workers and the stand-in platform, and runs
# path-bench against them.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
folder=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; rm -rf "$folder"' EXIT
workers=()
listing=()
for port in $(seq 7601 7616); do
  "$build/coriandermount-worker" --port "$port" --slots 64 & pids+=($!)
  workers+=("127.0.0.1:$port")
  listing+=("{\"id\":\"worker-$port\",\"domain\":\"domain-1\",\"address\":\"127.0.0.1:$port\",\"slots\":64,\"memory_mb\":32768,\"services\":[\"sleep\",\"echo\"]}")
done
printf '{"entry_vms":[],"workers":[%s]}' "$(IFS=,; echo "${listing[*]}")" > "$folder/vms.json"
"$build/coriandermount-platform" --port 7500 --listing "$folder/vms.json" & pids+=($!)
printf '[platform]\naddress = "127.0.0.1:7500"\n' > "$folder/node.toml"
taskset -c 0,1 "$build/coriandermountd" --settings "$folder/node.toml" 2> "$folder/node.log" & node=$!; pids+=("$node")
for _ in $(seq 100); do
  curl -sf -o /dev/null http://127.0.0.1:7400/readyz && break
  sleep 0.1
done
"$build/path-bench" --node 127.0.0.1:7400 --workers "$(IFS=,; echo "${workers[*]}")" --pid "$node"
