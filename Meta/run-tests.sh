#!/usr/bin/env bash
# Runs all tests. A test that KNOWN-RED.txt lists in a line "test: PROGRAM, GROUP.NAME", or in a line "ctest: NAME" by its
# name in CMakeLists.txt, does not affect the exit status; it runs separately and its result is printed.
set -u
build=${1:-Build}
cd "$(dirname "$0")/.."
failures=()
red=()
red_ctests=()
[[ -f KNOWN-RED.txt ]] && mapfile -t red_ctests < <(sed -n 's/^ctest: *//p' KNOWN-RED.txt)
[[ -f KNOWN-RED.txt ]] && mapfile -t red < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
programs=$(printf '%s\n' "${red[@]}" | sed -n 's/^Test\([A-Za-z]*\),.*/\1/p' | sort -u | paste -sd '|')
excluded=$(printf '%s\n' ${programs:+"$programs"} "${red_ctests[@]}" | sed '/^$/d' | paste -sd '|')
failed_log=$build/Testing/Temporary/LastTestsFailed.log
rm -f "$failed_log"
if ! ctest --test-dir "$build" --output-on-failure -j "$(nproc)" ${excluded:+-E "^($excluded)\$"}; then
    [[ -s $failed_log ]] || failures+=(ctest)
    [[ -f $failed_log ]] && mapfile -t -O "${#failures[@]}" failures < <(sed 's/^[0-9]*://' "$failed_log")
fi

run_one() { # PROGRAM GROUP.NAME
    "$build/$1" -sg "${2%%.*}" -sn "${2##*.}"
}

# Runs the other tests of a program with a known red test one at a time.
for program in ${programs//|/ }; do
    for name in $("$build/Test$program" -ln); do
        [[ " ${red[*]} " == *" $name "* ]] && continue
        # Only the output of a failure is printed, so that it is not lost among thousands of log lines.
        if ! out=$(run_one "Test$program" "$name" 2>&1); then
            printf '%s\n' "$out"
            failures+=("Test$program, $name")
        fi
    done
done
for entry in "${red[@]}"; do
    if run_one "${entry%%,*}" "${entry##*, }" >/dev/null 2>&1; then
        echo "KNOWN RED, passes now: $entry"
    else
        echo "KNOWN RED: $entry"
    fi
done
for name in "${red_ctests[@]}"; do
    # The output of a failure shows what was seen.
    if ctest --test-dir "$build" --output-on-failure -R "^$name\$"; then
        echo "KNOWN RED, passes now: $name"
    else
        echo "KNOWN RED: $name"
    fi
done
for name in "${failures[@]}"; do
    echo "FAILED: $name"
done
exit $((${#failures[@]} > 0))
