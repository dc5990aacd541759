#!/usr/bin/env bash
# Plays the scenario filling-target of review/standin-2. Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays the same without the disruption, and must exit with 0.
set -u
export TROUBLE=${TROUBLE:-1}
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
[[ -x target/review-2/review-2 && -x ${command%% *} ]] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
# shellcheck disable=SC2086
timeout -k 1 118 target/review-2/review-2 filling-target "$here/record.txt" "$folder" $command
status=$?
((status == 0 || status == 1)) || status=2
exit $status
