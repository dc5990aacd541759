#!/usr/bin/env bash
# Runs three entry daemons against platform stand-ins, with load, operator commands and injected faults, and checks every
# promise at the end. Exit status: 0 without a violation. Usage: Meta/demo.sh BUILD SEED
set -u
build=$(realpath "${1:-Build}")
cd "$(dirname "$0")/.."
. Meta/cluster.sh
cluster_init "$build" "${2:-1}"
began_ms=$(now_ms)
status=1
trap 'cluster_end $status' EXIT
trap 'exit 1' INT TERM

load() { # NAME ARGUMENTS...
    cluster_run "$1" "$build/bergamot-load" "${@:2}" "--seed=$seed" "--sent=$sent"
}

until_second() { # SECOND since the start of the load
    local left=$((load_ms + $1 * 1000 - $(now_ms)))
    ((left <= 0)) || sleep "$(seconds "$left")"
}

say "seed $seed: $zones zones with $workers_per_zone workers each, $daemons entry daemons"
cluster_start_platform && cluster_start_daemons && cluster_publish_first && cluster_wait_ready || exit 1
say "the platform and the daemons are ready"

mapfile -t to_all < <(entry_options)
watched=()
for ((i = 0; i < daemons; ++i)); do watched+=("--operator=${operators[i]}" "--entry=${entries[i]}"); done
load_ms=$(now_ms)
load watch watch "${watched[@]}" "--token-file=$token_file" --seconds=50
load top-ups quick "${to_all[@]}" --rate=150 --retry --seconds=50
load settlements quick "${to_all[@]}" --client=back-office --rate=6 --non-idempotent-share=1 --retry --seconds=50 \
    --deadline-ms=3000
load jobs jobs "${to_all[@]}" --rate=2 --seconds=25 --run-ms=4000 --wait-seconds=30
say "load: 150 top-ups a second, 6 settlements a second, 2 batch jobs a second"

until_second 5
publish "${operators[1]}" 2 boris || say "the configuration of boris was not accepted"
until_second 8
set_zone b true && say "zone b is taken out"
until_second 12
say "e2 is killed"
cluster_stop_daemon 2 KILL 2
until_second 18
set_zone b false && say "zone b is back"
until_second 20
fault "$hosts_url" '{"host":"a-w1","state":"leaving"}' && say "host a-w1 is leaving"
fault "$log_url" '{"lose_answers":3}' && say "the log loses the answers of 3 appends"
until_second 23
fault "$(control_url 3)" '{"worker":"c-w1","truncate":2,"cross":2}' && say "worker c-w1 cuts off and crosses answers"
fault "$log_url" '{"down_ms":3000}' && say "the log is down for 3 s"
until_second 30
# Slows the services down, so that requests are in progress at the planned stop.
for ((zone = 1; zone <= zones; ++zone)); do fault "$(control_url "$zone")" '{"worker":"*","slow_factor":15}'; done
say "e3 is stopped as planned, while requests take 15 times as long"
cluster_stop_daemon 3 TERM
for ((zone = 1; zone <= zones; ++zone)); do fault "$(control_url "$zone")" '{"worker":"*","slow_factor":1}'; done
cluster_start_daemon 3
wait_for "${entries[2]}/readyz" 20 && say "e3 is ready again"

for name in watch top-ups settlements jobs; do
    wait "${cluster_pids[$name]}" || say "the load $name failed"
    unset "cluster_pids[$name]"
    say "$name: $(cat "$folder/$name.out")"
done
echo
required=()
for promise in P1 P2 P3 P4 P5 P6 P7 P8 P9 P10; do required+=("--require=$promise"); done
cluster_check --text "${required[@]}" && status=0
say "$([[ $status == 0 ]] && echo "no violation" || echo "VIOLATIONS or unreadable records")"
exit $status
