#!/usr/bin/env bash
# Runs the libFuzzer target of the node's decoders in one process, from the seeds of the tests and the saved corpus.
# Inputs that reach new code are kept in BUILD/fuzz/node-corpus. With "merge", a small set of them, those that reach
# other code than the seeds, replaces the saved corpus. An input that fails is written to BUILD/fuzz.
set -euo pipefail
usage="usage: $0 BUILD SECONDS SEED [merge]"
build=${1:?$usage}
seconds=${2:?$usage}
seed=${3:?$usage}
cd "$(dirname "$0")/.."
saved=Tests/PlatformAdapter/node-corpus.hex
found=$build/fuzz/node-corpus
mkdir -p "$found"
CXX=clang++ cmake -S . -B "$build/fuzz" -G Ninja -DBERGAMOT_FUZZ=ON >/dev/null
cmake --build "$build/fuzz" -j2 --target fuzz-node
BERGAMOT_FUZZ_SEEDS=$found "$build/TestPlatformAdapter" -sg NodeDecoders -sn InputsOfTheFuzzerHaveDifferentNames >/dev/null
"$build/fuzz/fuzz-node" -seed="$seed" -max_total_time="$seconds" -max_len=4096 -rss_limit_mb=2048 -timeout=5 \
    -artifact_prefix="$build/fuzz/" "$found" 2>&1 | grep -v '^ts='
if [[ ${4:-} == merge ]]; then
    merged=$build/fuzz/node-corpus-merged
    rm -rf "$merged"
    mkdir "$merged"
    cp "$found"/[0-9][0-9]-[0-9]* "$merged"
    "$build/fuzz/fuzz-node" -set_cover_merge=1 -use_counters=0 -max_len=256 "$merged" "$found" >/dev/null 2>&1
    rm -f "$merged"/[0-9][0-9]-[0-9]*
    for file in "$merged"/*; do
        od -An -v -tx1 "$file" | tr -d ' \n'
        echo
    done | sort >"$saved"
fi
