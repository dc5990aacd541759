#!/usr/bin/env bash
# Functions that run platform stand-ins and entry daemons on loopback; source this file.
# Call cluster_init first and cluster_end last. The functions terminate only processes that they started, by process id.
# Environment variables set the sizes: ZONES, WORKERS_PER_ZONE (16 for Riga), DAEMONS. PORT_BASE sets the first port.

declare -A cluster_pids=()
began_ms=0

cluster_init() { # BUILD SEED
    build=$1 seed=$2
    zones=${ZONES:-3} workers_per_zone=${WORKERS_PER_ZONE:-4} daemons=${DAEMONS:-3}
    # Each cluster uses 40 ports below the ephemeral port range, from which the kernel assigns ports to outgoing
    # connections.
    base=${PORT_BASE:-$((16000 + $$ % 400 * 40))}
    folder=$(mktemp -d)
    sent=$folder/sent.jsonl
    log_url=http://127.0.0.1:$base
    hosts_url=http://127.0.0.1:$((base + 1))
    worker_port=$((base + 2))
    token_file=$folder/admin.token
    echo "token-$seed" >"$token_file"
    : >"$sent"
    local i
    entries=() operators=()
    for ((i = 1; i <= daemons; ++i)); do
        entries+=("http://127.0.0.1:$(cluster_port "$i" 0)")
        operators+=("http://127.0.0.1:$(cluster_port "$i" 1)")
    done
}

cluster_port() { echo $((base + 10 + 3 * ($1 - 1) + $2)); } # DAEMON INDEX

# Prints CLOCK_BOOTTIME in milliseconds, the clock of all records.
now_ms() {
    local up
    read -r up _ </proc/uptime
    echo $((10#${up/./} * 10))
}

say() { printf "%8s s  %s\n" "$(seconds $(($(now_ms) - began_ms)))" "$*"; }

seconds() { printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)); }

record() { printf '%s\n' "$1" >>"$sent"; } # JSON line

call() { "$build/bergamot-load" call "$@"; }

fault() { call POST "$1/fault" --body="$2" >/dev/null; } # URL JSON

control_url() { echo "http://127.0.0.1:$((base + 2 + $1))"; } # ZONE NUMBER

zone_name() { printf "\\x$(printf %x $((96 + $1)))"; } # ZONE NUMBER

cluster_run() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >>"$folder/$name.out" 2>>"$folder/$name.log" &
    cluster_pids[$name]=$!
}

cluster_start_platform() {
    cluster_run log "$build/log-stand-in" --port="$base"
    cluster_run hosts "$build/host-list-stand-in" --port=$((base + 1)) --zones="$zones" \
        --workers-per-zone="$workers_per_zone" --worker-port="$worker_port"
    local zone
    for ((zone = 1; zone <= zones; ++zone)); do
        cluster_run "workers-$zone" "$build/worker-stand-in" --zone="$zone" --count="$workers_per_zone" \
            --port="$worker_port" --control-port=$((base + 2 + zone)) --seed="$seed"
    done
    wait_for "$log_url/stats" && wait_for "$hosts_url/stats" || return 1
    for ((zone = 1; zone <= zones; ++zone)); do wait_for "$(control_url "$zone")/stats" || return 1; done
}

wait_for() { # URL [SECONDS]
    local end=$(($(now_ms) + ${2:-10} * 1000))
    until call GET "$1" --timeout-ms=500 >/dev/null 2>&1; do
        (($(now_ms) < end)) || { echo "no answer from $1; logs: $folder" >&2; return 1; }
        sleep 0.1
    done
}

# Writes an overlay for fewer workers than in Riga. It reduces the concurrency of clients, so that their terms fit the
# slots of two zones.
cluster_write_overlay() { # MARK FILE
    sed -e 's/^\[clients.kiosks\]$/&\nconcurrency = 30/' -e 's/^\[clients.phone-app\]$/&\nconcurrency = 10/' \
        -e "s/^queue_timeout_ms = .*/&\nqueue_limit = $((300 + $1))/" Examples/riga.toml >"$2"
}

cluster_start_daemon() { # INDEX
    local i=$1 peers="" k
    for ((k = 1; k <= daemons; ++k)); do peers+="\"127.0.0.1:$(cluster_port "$k" 2)\", "; done
    cat >"$folder/e$i.toml" <<SETTINGS
member = "e$i"
region = "main"
zone = "$(zone_name $(((i - 1) % zones + 1)))"
caller_listen = "127.0.0.1:$(cluster_port "$i" 0)"
operator_listen = "127.0.0.1:$(cluster_port "$i" 1)"
peer_listen = "127.0.0.1:$(cluster_port "$i" 2)"
peers = [${peers%, }]
log_url = "$log_url"
host_list_url = "$hosts_url"
admin_token_file = "$token_file"
base_config = "$PWD/Examples/base.toml"
overlay_config = "$folder/overlay.toml"
SETTINGS
    cluster_run "e$i" "$build/bergamotd" --settings "$folder/e$i.toml"
}

cluster_start_daemons() {
    local i
    cluster_write_overlay 0 "$folder/overlay.toml"
    for ((i = 1; i <= daemons; ++i)); do cluster_start_daemon "$i"; done
    for ((i = 1; i <= daemons; ++i)); do wait_for "${entries[i - 1]}/healthz" 20 || return 1; done
}

cluster_wait_ready() {
    local url
    for url in "${entries[@]}"; do wait_for "$url/readyz" 20 || return 1; done
}

# Publishes the first configuration, without which the daemons do not become ready.
cluster_publish_first() {
    local end=$(($(now_ms) + 20000))
    until publish "${operators[0]}" 1 anna; do
        (($(now_ms) < end)) || { say "the first configuration was not accepted"; return 1; }
        sleep 0.5
    done
}

# Sends a signal to a daemon and waits for its exit. Records the stop, and the restart when RESTART is given.
cluster_stop_daemon() { # INDEX SIGNAL [RESTART]
    local i=$1 name=e$1 begin planned=false status=0
    [[ $2 == TERM ]] && planned=true
    begin=$(now_ms)
    kill "-$2" "${cluster_pids[$name]}"
    wait "${cluster_pids[$name]}" 2>/dev/null || status=$?
    unset "cluster_pids[$name]"
    say "e$i ended after $(($(now_ms) - begin)) ms with status $status"
    if [[ ${3:-} ]]; then
        sleep "$3"
        cluster_start_daemon "$i"
        wait_for "${entries[i - 1]}/readyz" 20 || true
        say "e$i is ready again"
    fi
    record "{\"type\":\"stop\",\"entry\":\"${entries[i - 1]}\",\"planned\":$planned,\"at_ms\":$begin,\"until_ms\":$(now_ms)}"
}

set_zone() { # ZONE true|false, through the first daemon that accepts the request
    local url
    for url in "${operators[@]}"; do
        if call POST "$url/admin/zones/$1" --body="{\"out\":$2}" --token-file="$token_file" >>"$folder/orders.out" 2>&1; then
            record "{\"type\":\"zone\",\"zone\":\"$1\",\"out\":$2,\"at_ms\":$(now_ms)}"
            return 0
        fi
    done
    return 1
}

# Publishes the overlay with a mark that distinguishes it from earlier versions. Returns 1 when it is rejected.
publish() { # OPERATOR_URL MARK AUTHOR
    local body based_on reply version
    cluster_write_overlay "$2" "$folder/overlay-$3.toml"
    body=$("$build/bergamotctl" effective --output json Examples/base.toml "$folder/overlay-$3.toml") || return 1
    reply=$(call GET "$1/admin/config" --token-file="$token_file") || return 1
    [[ $reply =~ \"version\":([0-9]+) ]] || return 1
    based_on=${BASH_REMATCH[1]}
    reply=$(call POST "$1/admin/config" --token-file="$token_file" \
        --body="{\"based_on\":$based_on,\"author\":\"$3\",\"body\":$body}" 2>>"$folder/orders.out") || return 1
    [[ $reply =~ \"version\":([0-9]+) ]] || return 1
    version=${BASH_REMATCH[1]}
    record "{\"type\":\"config_accepted\",\"version\":$version,\"at_ms\":$(now_ms)}"
    say "$3 published version $version"
}

# Prints the --entry options of all daemons.
entry_options() { printf -- '--entry=%s\n' "${entries[@]}"; }

cluster_check() { # OPTIONS...
    local zone urls=("--records=$hosts_url")
    for ((zone = 1; zone <= zones; ++zone)); do urls+=("--records=$(control_url "$zone")"); done
    # Stores the records with the logs, for the analysis of a violation.
    for ((zone = 1; zone <= zones; ++zone)); do call GET "$(control_url "$zone")/records" >>"$folder/records.jsonl"; done
    "$build/bergamot-load" check "${urls[@]}" --sent="$sent" "$@"
}

# Terminates all processes of the cluster. Keeps the folder with the logs when the run failed or KEEP is set.
cluster_end() { # STATUS
    local name
    for name in "${!cluster_pids[@]}"; do kill -CONT "${cluster_pids[$name]}" 2>/dev/null; kill -TERM "${cluster_pids[$name]}" 2>/dev/null; done
    sleep 0.5
    for name in "${!cluster_pids[@]}"; do kill -KILL "${cluster_pids[$name]}" 2>/dev/null; done
    for name in "${!cluster_pids[@]}"; do wait "${cluster_pids[$name]}" 2>/dev/null; done
    cluster_pids=()
    if [[ $1 == 0 && ! ${KEEP:-} ]]; then rm -rf "$folder"; else echo "logs and records: $folder"; fi
}
