#!/usr/bin/env bash
# Measures the overhead of coordination on a node, with real processes on loopback, and prints one JSON line per point:
# processor share of a core, resident memory, bytes per second on the wire (HTTP headers included), by number of domains,
# nodes, workers and plans, and by jobs per second.
#
#   bench/capacity.sh idle     fleets without jobs
#   bench/capacity.sh load     one domain of three nodes with jobs
#   bench/capacity.sh point DOMAINS NODES WORKERS PLANS   one fleet without jobs
#
# Environment: BUILD (folder of the programs), SECONDS_PER_POINT (duration of each measurement).
set -uo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "${BUILD:-build}")
seconds=${SECONDS_PER_POINT:-15}
ticks_per_second=$(getconf CLK_TCK)
pids=() folder=$(mktemp -d)

stop_all() {
  [ ${#pids[@]} -eq 0 ] || kill -KILL "${pids[@]}" 2>/dev/null
  wait 2>/dev/null
  pids=() nodes=() node_pids=()
}
trap 'stop_all; rm -rf "$folder"' EXIT

write_listing() { # domains, nodes per domain, workers per domain, worker port step (0: all workers at port 9, where nothing listens)
  python3 - "$@" > "$folder/vms.json" <<'PY'
import json, sys
domains, nodes, workers, step = map(int, sys.argv[1:5])
entry_vms = [{"id": f"entry-{d}-{n}", "domain": f"domain-{d}", "rack": f"rack-{n}", "peer_address": f"127.1.{d}.{n}:7401"}
         for d in range(1, domains + 1) for n in range(1, nodes + 1)]
workers_list = [{"id": f"worker-{d}-{w}", "domain": f"domain-{d}", "rack": f"rack-{w // 8}", "address": f"127.0.0.1:{9 if step == 0 else 7600 + w * step}",
         "slots": 8, "memory_mb": 32768, "accelerators": 2, "services": ["sleep"]}
        for d in range(1, domains + 1) for w in range(workers)]
json.dump({"entry_vms": entry_vms, "workers": workers_list}, sys.stdout)
PY
}

write_configuration() { # plans
  python3 - "$@" > "$folder/configuration.json" <<'PY'
import json, sys
plans = int(sys.argv[1])
json.dump({"based_on": 0, "author": "bench", "reason": "capacity",
           "customers": {"demo": "plan-0", **{f"customer-{p}": f"plan-{p}" for p in range(plans)}},
           "plans": {f"plan-{p}": {"weight": 1, "tasks_per_second": 100000, "concurrent_tasks": 10000} for p in range(plans)}}, sys.stdout)
PY
}

start_fleet() { # domains, nodes per domain, workers per domain, plans, worker port step
  write_listing "$1" "$2" "$3" "$5"
  write_configuration "$4"
  "$build/coriandermount-platform" --port 7500 --listing "$folder/vms.json" 2>> "$folder/log" & pids+=($!)
  local domain number list
  list=$(seq -s, -f 'domain-%g' "$1")
  for domain in $(seq "$1"); do
    for number in $(seq "$2"); do
      cat > "$folder/node-$domain-$number.toml" <<EOT
[vm]
id = "entry-$domain-$number"
failure_domain = "domain-$domain"
rack = "rack-$number"
[listen]
address = "127.1.$domain.$number"
[peers]
address = "127.1.$domain.$number"
[fleet]
domains = "$list"
[log]
level = "error"
EOT
      "$build/coriandermountd" --settings "$folder/node-$domain-$number.toml" 2>> "$folder/log" &
      pids+=($!) nodes+=("127.1.$domain.$number:7400") node_pids+=($!)
    done
  done
  local node
  for node in "${nodes[@]}"; do
    for _ in $(seq 150); do curl -sf -m 1 -o /dev/null "http://$node/readyz" && break; sleep 0.2; done
  done
  curl -sf -o /dev/null -X POST --data "@$folder/configuration.json" "http://${nodes[0]}/v1/configuration"
  sleep 8
}

processor_ticks() { local pid total=0 a b; for pid in "${node_pids[@]}"; do read -r a b < <(awk '{print $14, $15}' "/proc/$pid/stat"); total=$((total + a + b)); done; echo "$total"; }
max_resident_kb() { local pid; for pid in "${node_pids[@]}"; do awk '/VmRSS/ {print $2}' "/proc/$pid/status"; done | sort -n | tail -1; }
coordination_bytes() { local node; for node in "${nodes[@]}"; do curl -sf -m 5 "http://$node/metrics"; done | awk '/^coriandermount_control_(sent|received)_bytes_total/ {s += $2} END {printf "%.0f", s}'; }

measure() { # fields of the point, as JSON without braces
  local ticks0 bytes0 ticks1 bytes1 count=${#nodes[@]}
  bytes0=$(coordination_bytes) ticks0=$(processor_ticks)
  sleep "$seconds"
  ticks1=$(processor_ticks) bytes1=$(coordination_bytes)
  awk -v point="$1" -v ticks=$((ticks1 - ticks0)) -v bytes=$((bytes1 - bytes0)) -v n="$count" -v s="$seconds" -v hz="$ticks_per_second" -v rss="$(max_resident_kb)" \
    'BEGIN {printf "{%s, \"core_percent\": %.3f, \"client_bytes_per_second\": %.0f, \"resident_mb\": %.1f}\n", point, 100 * ticks / hz / s / n, bytes / s / n, rss / 1024}'
}

idle_point() { # domains, nodes, workers, plans
  start_fleet "$1" "$2" "$3" "$4" 0
  measure "\"kind\": \"idle\", \"domains\": $1, \"nodes\": $2, \"workers\": $3, \"plans\": $4"
  stop_all
}

load_point() { # jobs per second
  "$build/coriandermount-worker" --port 7600 --count 24 --slots 8 2>> "$folder/log" & pids+=($!)
  start_fleet 1 3 24 10 1
  local load=0
  if [ "$1" -gt 0 ]; then
    "$build/coriandermount-load" run --nodes "$(IFS=,; echo "${nodes[*]}")" --rate "$1" --duration-ms $(((seconds + 4) * 1000)) --twins 0 --cancels 0 \
      --submissions "$folder/submissions" --versions "$folder/versions" > /dev/null 2>&1 & load=$!
    sleep 2
  fi
  measure "\"kind\": \"load\", \"jobs_per_second\": $1"
  [ $load -eq 0 ] || wait $load
  stop_all
}

nodes=() node_pids=()
case ${1:-idle} in
  idle)
    idle_point 1 3 48 10; idle_point 1 9 48 10; idle_point 1 3 326 10; idle_point 1 3 48 110
    idle_point 4 6 48 10; idle_point 19 6 326 110 ;;
  load) for rate in 0 50 100; do load_point $rate; done ;;
  point) shift; idle_point "$@" ;;
esac
