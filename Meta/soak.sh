#!/usr/bin/env bash
# Runs a cluster under random faults. The seed determines the fault schedule, which is printed before the run.
# Exit status: 0 without a violation. Usage: Meta/soak.sh BUILD SEED SECONDS
set -u
build=$(realpath "${1:-Build}")
run_seconds=${3:-60}
cd "$(dirname "$0")/.."
. Meta/cluster.sh
cluster_init "$build" "${2:-1}"
began_ms=$(now_ms)
status=1
trap 'cluster_end $status' EXIT
trap 'exit 1' INT TERM

pick() { picked=$((RANDOM % $1)); }

# Prints one line for each fault: its start time in seconds and the words of its command. No fault starts in the last 15 s.
make_schedule() {
    local second=4 zone number member way state ways states worker
    # Bash reseeds RANDOM in each subshell unless the subshell sets the seed, so no number is drawn in a nested subshell.
    RANDOM=$seed
    while ((second < run_seconds - 15)); do
        pick "$zones" && zone=$((picked + 1))
        pick "$workers_per_zone" && number=$((picked + 1))
        pick "$daemons" && member=$((picked + 1))
        worker=$(zone_name "$zone")-w$number
        ways=(fail refuse) states=(leaving leaving live)
        pick 2 && way=${ways[picked]}
        pick 3 && state=${states[picked]}
        pick 19
        case $picked in
        0) echo "$second log {\"down_ms\":$((RANDOM % 6000 + 500))}" ;;
        1) echo "$second log {\"silent_ms\":$((RANDOM % 6000 + 500))}" ;;
        2) echo "$second log {\"slow_ms\":$((RANDOM % 3000 + 50)),\"for_ms\":$((RANDOM % 6000 + 500))}" ;;
        3) echo "$second log {\"lose_answers\":$((RANDOM % 10 + 1))}" ;;
        4) echo "$second log {\"duplicate_answers\":$((RANDOM % 10 + 1))}" ;;
        5) echo "$second log {\"cut_off\":\"e$member\",\"for_ms\":$((RANDOM % 9000 + 500))}" ;;
        6) echo "$second worker $zone {\"worker\":\"$worker\",\"freeze_ms\":$((RANDOM % 9000 + 500))}" ;;
        7) echo "$second worker $zone {\"worker\":\"$worker\",\"fail_starts\":\"$way\"}" ;;
        8) echo "$second worker $zone {\"worker\":\"$worker\",\"late_ms\":$((RANDOM % 3000 + 100)),\"count\":20}" ;;
        9) echo "$second worker $zone {\"worker\":\"$worker\",\"cross\":5,\"truncate\":5}" ;;
        10) echo "$second worker $zone {\"worker\":\"$worker\",\"lose_answers\":5}" ;;
        11) echo "$second worker $zone {\"worker\":\"$worker\",\"die\":true}" ;;
        12) echo "$second worker $zone {\"worker\":\"*\",\"revive\":true,\"fail_starts\":\"off\",\"slow_factor\":$((RANDOM % 3 + 1))}" ;;
        13) echo "$second hosts {\"host\":\"$worker\",\"state\":\"$state\"}" ;;
        14) echo "$second zone $(zone_name "$zone") $((RANDOM % 8 + 4))" ;;
        15) echo "$second stop $member KILL $((RANDOM % 4 + 1))" ;;
        16) echo "$second stop $member TERM $((RANDOM % 4 + 1))" ;;
        18) echo "$second race $second" ;;
        17) echo "$second pause $member $((RANDOM % 6 + 1))" ;;
        esac
        second=$((second + RANDOM % 3 + 1))
    done
}

# Daemons stop and restart while other faults are injected: continue_stops advances each stop when its next step is due.
declare -A stop_phase=() stop_begin=() stop_due=() stop_delay=() stop_planned=()

begin_stop() { # INDEX SIGNAL DELAY
    local name=e$1
    [[ ! ${stop_phase[$name]:-} ]] || return 1
    stop_phase[$name]=stopping stop_begin[$name]=$(now_ms) stop_delay[$name]=$3 stop_planned[$name]=false
    [[ $2 == TERM ]] && stop_planned[$name]=true
    kill "-$2" "${cluster_pids[$name]}"
}

continue_stops() {
    local name now
    for name in "${!stop_phase[@]}"; do
        now=$(now_ms)
        case ${stop_phase[$name]} in
        stopping)
            kill -0 "${cluster_pids[$name]}" 2>/dev/null && continue
            wait "${cluster_pids[$name]}" 2>/dev/null
            say "$name ended after $((now - stop_begin[$name])) ms with status $?"
            unset "cluster_pids[$name]"
            stop_phase[$name]=down stop_due[$name]=$((now + stop_delay[$name] * 1000))
            ;;
        down)
            ((now >= stop_due[$name])) || continue
            cluster_start_daemon "${name#e}"
            stop_phase[$name]=starting stop_due[$name]=$((now + 30000))
            ;;
        starting)
            call GET "${entries[${name#e} - 1]}/readyz" --timeout-ms=300 >/dev/null 2>&1 || ((now >= stop_due[$name])) || continue
            say "$name is up again"
            record "{\"type\":\"stop\",\"entry\":\"${entries[${name#e} - 1]}\",\"planned\":${stop_planned[$name]},\"at_ms\":${stop_begin[$name]},\"until_ms\":$(now_ms)}"
            unset "stop_phase[$name]"
            ;;
        esac
    done
}

# Injects a fault. Faults with a duration run in the background, so that several can overlap.
apply() { # WORDS...
    case $1 in
    log) fault "$log_url" "$2" ;;
    hosts) fault "$hosts_url" "$2" ;;
    worker) fault "$(control_url "$2")" "$3" ;;
    zone)
        (set_zone "$2" true && sleep "$3" && until set_zone "$2" false; do sleep 1; done) &
        orders+=($!)
        ;;
    stop) begin_stop "$2" "$3" "$4" ;;
    race)
        # Two operators publish concurrently; at most one of two updates that are based on the same version is accepted.
        publish "${operators[0]}" $(($2 * 2)) anna &
        orders+=($!)
        publish "${operators[$((daemons - 1))]}" $(($2 * 2 + 1)) boris &
        orders+=($!)
        ;;
    pause)
        local pid=${cluster_pids[e$2]:-}
        [[ $pid ]] || return 1
        kill -STOP "$pid"
        (sleep "$3" && kill -CONT "$pid") &
        orders+=($!)
        ;;
    esac
}

schedule=$(make_schedule)
echo "seed $seed, $run_seconds s, schedule (second, fault):"
printf '%s\n' "$schedule"
cluster_start_platform && cluster_start_daemons && cluster_publish_first && cluster_wait_ready || exit 1

mapfile -t to_all < <(entry_options)
watched=()
for ((i = 0; i < daemons; ++i)); do watched+=("--operator=${operators[i]}" "--entry=${entries[i]}"); done
common=("--seed=$seed" "--sent=$sent")
load_ms=$(now_ms)
cluster_run watch "$build/bergamot-load" watch "${watched[@]}" "--token-file=$token_file" --seconds="$run_seconds" "${common[@]}"
cluster_run top-ups "$build/bergamot-load" quick "${to_all[@]}" --rate=150 --retry --seconds="$run_seconds" "${common[@]}"
cluster_run settlements "$build/bergamot-load" quick "${to_all[@]}" --client=back-office --rate=8 \
    --non-idempotent-share=1 --retry --seconds="$run_seconds" --deadline-ms=3000 "${common[@]}"
cluster_run jobs "$build/bergamot-load" jobs "${to_all[@]}" --rate=2 --seconds=$((run_seconds - 10)) --run-ms=5000 \
    --wait-seconds=75 --cancel-share=0.1 --oversize-share=0.02 "${common[@]}"

orders=()
while read -r second words; do
    [[ $words ]] || continue
    while (($(now_ms) < load_ms + second * 1000)); do
        continue_stops
        sleep 0.1
    done
    say "$words"
    read -ra fault_words <<<"$words"
    apply "${fault_words[@]}" || say "this fault is left out: the daemon is stopped, or the order was refused"
done <<<"$schedule"
while ((${#stop_phase[@]} > 0)); do
    continue_stops
    sleep 0.1
done
for pid in "${orders[@]}"; do wait "$pid"; done
fault "$log_url" '{"clear":true}'
for ((zone = 1; zone <= zones; ++zone)); do
    fault "$(control_url "$zone")" '{"worker":"*","revive":true,"fail_starts":"off","slow_factor":1}'
done
for name in watch top-ups settlements jobs; do
    wait "${cluster_pids[$name]}" || say "the load $name failed"
    unset "cluster_pids[$name]"
    say "$name: $(cat "$folder/$name.out")"
done
required=()
for promise in P1 P2 P3 P5 P7 P10; do required+=("--require=$promise"); done
cluster_check --text "${required[@]}" && status=0
say "seed $seed: $([[ $status == 0 ]] && echo "no violation" || echo "VIOLATIONS or unreadable records")"
exit $status
