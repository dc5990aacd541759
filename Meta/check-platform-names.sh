#!/usr/bin/env bash
# Only platform/, its tests and its stand-in may use names of the users' platform. Lists every other source file that
# contains one.
set -eu
cd "$(dirname "$0")/.."
names='ackedSeq|estRuntimeMs|fencingToken|runId|run-start|run-stop|machine-move|machine-upkeep|log-append|log-read|log-newest|log-join|\bkeyed\.(op|servers|status)|admissionCheck|antiAffinity|X-Bergamotbay'
leaks=$(git ls-files -co --exclude-standard 'Libraries/*' 'Services/*' 'Utilities/*' 'Tests/*' \
    | grep -vE '^(Tests/PlatformAdapter|Utilities/PlatformStandIn)/' | xargs grep -lE "$names" || true)
if [ -n "$leaks" ]; then
    echo "names of the platform outside platform/:"
    echo "$leaks"
    exit 1
fi
