#!/usr/bin/env bash
# Installs the libraries into a temporary folder below the build folder, builds Examples/Embedding against them, and
# checks the output of the examples. Requires a finished build.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "${1:-Build}")
work=$(mktemp -d "$build/embedding.XXXXXX")
trap 'rm -rf "$work"' EXIT

cmake --install "$build" --prefix "$work/installed" >"$work/log" || { cat "$work/log"; exit 1; }
if grep -rF "$PWD" "$work/installed" --include='*.cmake' --include='*.h'; then
    echo "check-embedding: an installed file names the source folder" >&2
    exit 1
fi
# Builds a copy, so that no example finds a header of the source tree through a relative path.
cp -r Examples/Embedding "$work/source"
{
    cmake -S "$work/source" -B "$work/build" -G Ninja -DCMAKE_PREFIX_PATH="$work/installed" &&
        cmake --build "$work/build" -j 4
} >"$work/log" 2>&1 || { cat "$work/log"; exit 1; }

expect() { # expect PROGRAM TEXT: the program exits with status 0, and its output contains the text.
    local output
    output=$("$work/build/$1")
    if [[ $output != *"$2"* ]]; then
        printf 'check-embedding: %s printed\n%s\nwithout: %s\n' "$1" "$output" "$2" >&2
        exit 1
    fi
}
expect codec "zone riga-a is out"
expect burn-report "MISSING: entry host e2"
expect burn-report "budget left  -100.0 %"
expect kernel-registry "no service named printer"
echo "check-embedding: 3 examples built against the installed tree and ran"
