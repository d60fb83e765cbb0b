#!/usr/bin/env bash
# Runs a fleet of real processes under each fault, alone or in pairs, and checks the records of the callers and the workers for
# violations of the guarantees (coriandermount-load check).
#
#   bench/fault_matrix.sh              a run without a fault, then every fault alone
#   bench/fault_matrix.sh pairs        every pair of faults
#   bench/fault_matrix.sh kill+pause   the named faults; + joins two faults that overlap
#
# Environment: BUILD (folder of the programs), DOMAINS, NODES (per domain), RATE (jobs/s), KEEP (folder to which the records are
# moved; without it they are deleted), SEED.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "${BUILD:-build}")
domains=${DOMAINS:-3} nodes_per_domain=${NODES:-3} rate=${RATE:-60} seed=${SEED:-1}
all_faults="kill pause cut_domain cut_inside log_down lose_answers list_down list_empty worker_kill worker_fail drain race"
load_ms=6000 first_fault_s=1.5 second_fault_s=0.5 fault_s=2.5
workers_per_process=3 processes_per_domain=2
platform=127.0.0.1:7500 platform_relay=127.0.2.100:7500 relay_port=7499

declare -A node_pid worker_pid
node_count=$((domains * nodes_per_domain))

domain_of() { echo $((($1 - 1) / nodes_per_domain % domains + 1)); }
post() { curl -sf -m 3 -o /dev/null -X POST --data "$2" "http://$1"; }

print_listing() { # numbers of the listed nodes
  local entries=() workers=() number domain process index port
  for number in "$@"; do
    entries+=("{\"id\":\"entry-$number\",\"domain\":\"domain-$(domain_of "$number")\",\"rack\":\"rack-$number\",\"peer_address\":\"127.0.2.$number:7401\"}")
  done
  for domain in $(seq "$domains"); do
    for process in $(seq "$processes_per_domain"); do
      for index in $(seq 0 $((workers_per_process - 1))); do
        port=$((7600 + 20 * domain + 5 * process + index))
        workers+=("{\"id\":\"worker-$port\",\"domain\":\"domain-$domain\",\"rack\":\"rack-$domain-$process\",\"address\":\"127.0.0.1:$port\",\"slots\":8,\"memory_mb\":32768,\"services\":[\"sleep\"]}")
      done
    done
  done
  printf '{"entry_vms":[%s],"workers":[%s]}' "$(IFS=,; echo "${entries[*]}")" "$(IFS=,; echo "${workers[*]}")"
}

start_worker() { # domain, process
  "$build/coriandermount-worker" --port $((7600 + 20 * $1 + 5 * $2)) --count $workers_per_process --slots 8 \
    --starts "$folder/starts-$1-$2.jsonl" 2>> "$folder/workers.log" &
  worker_pid[$1-$2]=$!
}

start_node() { # number
  local domain_list
  domain_list=$(seq -s, -f 'domain-%g' "$domains")
  cat > "$folder/node-$1.toml" <<EOT
[vm]
id = "entry-$1"
failure_domain = "domain-$(domain_of "$1")"
rack = "rack-$1"
[listen]
address = "127.0.1.$1"
[peers]
address = "127.0.1.$1"
advertised_address = "127.0.2.$1:7401"
[fleet]
domains = "$domain_list"
[platform]
address = "$platform_relay"
EOT
  "$build/coriandermountd" --settings "$folder/node-$1.toml" 2>> "$folder/node-$1.log" &
  node_pid[$1]=$!
}

wait_ready() { # numbers
  local number
  for number in "$@"; do
    for _ in $(seq 100); do
      curl -sf -m 1 -o /dev/null "http://127.0.1.$number:7400/readyz" && break
      sleep 0.1
    done
  done
}

start_fleet() {
  local routes=() number domain process spare=$((node_count + 4))
  for number in $(seq "$spare"); do
    routes+=("{\"listen\":\"127.0.2.$number\",\"listen_port\":7401,\"target\":\"127.0.1.$number\",\"target_port\":7401}")
  done
  routes+=("{\"listen\":\"127.0.2.100\",\"listen_port\":7500,\"target\":\"127.0.0.1\",\"target_port\":7500}")
  printf '[%s]' "$(IFS=,; echo "${routes[*]}")" > "$folder/routes.json"
  print_listing $(seq "$node_count") > "$folder/vms.json"
  "$build/coriandermount-platform" --port 7500 --listing "$folder/vms.json" 2>> "$folder/platform.log" & platform_pid=$!
  "$build/coriandermount-relay" --routes "$folder/routes.json" --port $relay_port 2>> "$folder/relay.log" & relay_pid=$!
  for domain in $(seq "$domains"); do
    for process in $(seq "$processes_per_domain"); do start_worker "$domain" "$process"; done
  done
  for number in $(seq "$node_count"); do start_node "$number"; done
  wait_ready $(seq "$node_count")
  publish 1 0 first
  sleep 1.5
}

stop_fleet() {
  local pid
  for pid in "${node_pid[@]}" "${worker_pid[@]}" "$platform_pid" "$relay_pid"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  node_pid=() worker_pid=()
}

publish() { # node, version that it is based on, reason
  post "127.0.1.$1:7400/v1/configuration" "{\"based_on\":$2,\"author\":\"operator-$1\",\"reason\":\"$3\",\"customers\":{\"demo\":\"basic\"},\"plans\":{\"basic\":{\"weight\":$1}}}"
}

links_between() { # "node numbers" "node numbers"; prints the links in both directions
  local a b out=()
  for a in $1; do for b in $2; do
    [ "$a" = "$b" ] && continue
    out+=("[\"127.0.1.$a\",\"127.0.2.$b\"]" "[\"127.0.1.$b\",\"127.0.2.$a\"]")
  done; done
  (IFS=,; echo "${out[*]}")
}

blocked_links=""
block_links() { blocked_links="${blocked_links:+$blocked_links,}$1"; post "127.0.0.1:$relay_port/cuts" "[$blocked_links]"; }
platform_faults=""
add_platform_fault() { platform_faults="${platform_faults:+$platform_faults,}\"$1\":true"; post "$platform/faults" "{$platform_faults}"; }

inject_fault() { # name
  local last=$node_count
  case $1 in
    kill) kill -KILL "${node_pid[2]}" ;;
    pause) kill -STOP "${node_pid[$((nodes_per_domain + 2))]}" ;;
    cut_domain) block_links "$(links_between "$(seq -s' ' 1 "$nodes_per_domain")" "$(seq -s' ' $((nodes_per_domain + 1)) "$last")")" ;;
    cut_inside) block_links "$(links_between "$last" "$(seq -s' ' $((last - nodes_per_domain + 1)) $((last - 1)))")" ;;
    log_down) add_platform_fault log_down ;;
    lose_answers) add_platform_fault lose_append_answers ;;
    list_down) add_platform_fault vm_list_down ;;
    list_empty) post "$platform/listing" '{"entry_vms":[],"workers":[]}' ;;
    worker_kill) kill -KILL "${worker_pid[1-1]}" ;;
    worker_fail) post "127.0.0.1:$((7600 + 20 + 10))/faults" '{"fail_all":true}' ;;
    drain) kill -TERM "${node_pid[$((last - 1))]}"; drained="127.0.1.$((last - 1)):7400" ;;
    race) for number in 1 $((nodes_per_domain + 1)); do publish "$number" 1 "race" & race_pids+=($!); done ;;
  esac
}

end_fault() { # name
  local spare=$((node_count + 1)) kept
  case $1 in
    kill) start_node "$spare"
      kept=$(seq "$node_count" | grep -vx 2)
      post "$platform/listing" "$(print_listing $kept "$spare")" ;;
    pause) kill -CONT "${node_pid[$((nodes_per_domain + 2))]}" ;;
    cut_*) blocked_links=""; post "127.0.0.1:$relay_port/cuts" "[]" ;;
    log_down | lose_answers | list_down) platform_faults=""; post "$platform/faults" "{}" ;;
    list_empty) post "$platform/listing" "$(cat "$folder/vms.json")" ;;
    worker_kill) start_worker 1 1 ;;
    worker_fail) post "127.0.0.1:$((7600 + 20 + 10))/faults" '{}' ;;
    race) wait "${race_pids[@]}" 2>/dev/null; race_pids=() ;;
  esac
}

run_case() { # name: one fault or two joined by +
  folder=$(mktemp -d)
  blocked_links="" platform_faults="" drained="" race_pids=()
  touch "$folder/submissions.jsonl" "$folder/versions.jsonl"
  start_fleet
  "$build/coriandermount-load" run --nodes "$(seq -s, -f '127.0.1.%g:7400' "$node_count")" --rate "$rate" --duration-ms $load_ms \
    --seed "$seed" --submissions "$folder/submissions.jsonl" --versions "$folder/versions.jsonl" > "$folder/summary.txt" & local load=$!
  local fault pause=$first_fault_s
  for fault in ${1//+/ }; do sleep $pause; inject_fault "$fault"; pause=$second_fault_s; done
  sleep $fault_s
  for fault in ${1//+/ }; do end_fault "$fault"; done
  wait $load
  local starts report
  starts=$(ls "$folder"/starts-*.jsonl | paste -sd,)
  report=$("$build/coriandermount-load" check --submissions "$folder/submissions.jsonl" --versions "$folder/versions.jsonl" \
    --starts "$starts" --drained "$drained")
  local status=$?
  printf '%-28s %s %s\n' "$1" "$(head -1 <<< "$report")" "$(grep -o 'never_done=.*' "$folder/summary.txt")"
  [ $status -eq 0 ] || { tail -n +2 <<< "$report" | head -5; failed=1; }
  stop_fleet
  if [ -n "${KEEP:-}" ]; then mkdir -p "$KEEP"; rm -rf "${KEEP:?}/$1"; mv "$folder" "$KEEP/$1"; else rm -rf "$folder"; fi
}

cases=("$@")
if [ $# -eq 0 ]; then read -ra cases <<< "none $all_faults"; fi
if [ "${1:-}" = pairs ]; then
  cases=()
  read -ra list <<< "$all_faults"
  for ((i = 0; i < ${#list[@]}; i++)); do
    for ((j = i + 1; j < ${#list[@]}; j++)); do cases+=("${list[i]}+${list[j]}"); done
  done
fi
trap 'stop_fleet' EXIT
failed=0
for case_name in "${cases[@]}"; do run_case "$case_name"; done
exit $failed
