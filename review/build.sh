#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. Needs g++ and nlohmann-json only.
set -eu
cd "$(dirname "$0")/standin"
out=../../target/review
mkdir -p "$out"
g++ -std=c++20 -O1 -Wall -Wextra -pthread ./*.cpp -o "$out/review-case"
