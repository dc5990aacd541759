#!/usr/bin/env bash
# Runs the source checks, checks the formatting of all source files, and runs the linter on every source file of the
# libraries and programs.
set -euo pipefail
build=${1:-Build}
cd "$(dirname "$0")/.."
Meta/check-machine-bounds.sh
Meta/check-platform-names.sh
git ls-files -co --exclude-standard '*.h' '*.cpp' | xargs clang-format --dry-run -Werror
git ls-files -co --exclude-standard 'Libraries/*.cpp' 'Services/*.cpp' 'Utilities/*.cpp' 'platform/*.cpp' \
    | xargs -P "$(nproc)" -n 3 clang-tidy -p "$build" --quiet
