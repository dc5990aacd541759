#!/usr/bin/env bash
# Runs node processes under random faults. The seed determines jobs, workers and faults.
# Exit status: 0 without a violation. Usage: Meta/node-soak.sh BUILD SEED SECONDS [FAULTS [OPTIONS...]]
set -u
build=$(realpath "${1:-Build}")
seed=${2:-1} run_seconds=${3:-30} faults=${4:-all}
options=("${@:5}")
folder=$(mktemp -d)
soak=

# Terminates the soak program and any nodes that it left running. A process id may have been reused, so a node is
# identified by the settings file in its environment.
cleanup() {
    if [[ $soak ]] && kill -TERM "$soak" 2>/dev/null; then wait "$soak"; fi
    local pid
    while read -r pid; do
        grep -qz "^BERGAMOTBAY_NODE_FILE=$folder/" "/proc/$pid/environ" 2>/dev/null && kill -KILL "$pid" 2>/dev/null
    done < <(cat "$folder/pids" 2>/dev/null)
}
trap cleanup EXIT
trap 'exit 1' INT TERM

"$build/bergamot-node-soak" --node="$build/bergamot-node" --folder="$folder" --seed="$seed" --seconds="$run_seconds" \
    --faults="$faults" "${options[@]}" >"$folder/out" 2>&1 &
soak=$!
wait "$soak"
status=$?
soak=
cat "$folder/out"
echo "command: Meta/node-soak.sh BUILD $seed $run_seconds $faults ${options[*]}"
if ((status == 0)); then
    rm -r "$folder"
else
    echo "the run failed with status $status; settings and logs: $folder"
fi
exit $status
