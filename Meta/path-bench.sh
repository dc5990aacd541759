#!/usr/bin/env bash
# Measures the quick path: sends the same load directly to the workers and through entry daemons in one run, and prints
# JSON lines.
# Usage: Meta/path-bench.sh BUILD SEED [SECONDS]
set -u
build=$(realpath "${1:-Build}")
cd "$(dirname "$0")/.."
. Meta/cluster.sh
WORKERS_PER_ZONE=${WORKERS_PER_ZONE:-16} DAEMONS=${DAEMONS:-1} cluster_init "$build" "${2:-1}"
# Raises the limits of the client, so that its terms do not limit the measured throughput.
cluster_write_overlay() { # MARK
    sed -e 's/^\[clients.kiosks\]$/&\nrequests_per_second = 200000\nconcurrency = 180\nrenewals = []/' \
        -e "s/^queue_timeout_ms = .*/&\nqueue_limit = $((300 + $1))/" Examples/riga.toml >"$folder/overlay.toml"
}
length=${3:-10}
began_ms=$(now_ms)
trap 'cluster_end 0' EXIT
trap 'exit 1' INT TERM
cluster_start_platform && cluster_start_daemons || exit 1
sleep 15 # Time for the replicas of the service to start and for the slot counts of the daemon to converge.

direct=()
for ((zone = 1; zone <= zones; ++zone)); do
    for ((i = 1; i <= workers_per_zone; ++i)); do direct+=("--entry=http://127.$zone.0.$i:$worker_port"); done
done
mapfile -t to_all < <(entry_options)

measure() { # NAME ARGUMENTS...
    local name=$1
    shift
    "$build/bergamot-load" quick "$@" --client=kiosks "--seed=$seed" "--seconds=$length" |
        sed "s/^{/{\"workload\":\"quick-$name\",/"
}

for rate in ${RATES:-200 1000}; do
    measure "direct-rate-$rate" "${direct[@]}" --direct --rate="$rate"
    measure "daemon-rate-$rate" "${to_all[@]}" --rate="$rate"
done
for callers in ${CALLERS:-64 170}; do
    measure "direct-closed-$callers" "${direct[@]}" --direct --concurrency="$callers" --engines=3
    measure "daemon-closed-$callers" "${to_all[@]}" --concurrency="$callers" --engines=3
done
