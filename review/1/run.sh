#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review/review-case
[[ -x $program && -x $root/target/bergamot-node ]] || exit 2
exec "$program" many-ends "$root" "$here/record.txt"
