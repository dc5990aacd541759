#!/usr/bin/env bash
# The daemon and its libraries write no file, start no process, and use no io_uring or shared memory. This check fails on
# source files that contain such calls; reading a file is allowed.
set -u
cd "$(dirname "$0")/.."
calls='\b(fork|vfork|execv[pe]*|execl[pe]*|posix_spawnp?|system|popen|shm_open|shmget|memfd_create|io_uring_[a-z]+|fopen|creat|mkstemp|unlink|rename)\('
types='std::(ofstream|fstream|filesystem)'
found=$(git ls-files Services/bergamotd 'Libraries/Lib*' | grep -vE '^Libraries/Lib(StandIn|Admin|Capacity)/' |
    xargs grep -nE "$calls|$types" | grep -vE '^[^:]*:[0-9]*: *//|fopen\([^)]*, "re?"\)')
if [[ $found ]]; then
    echo "calls that the daemon must not make:"
    echo "$found"
    exit 1
fi
