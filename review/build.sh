#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases into target/review. Needs g++ and nlohmann-json3-dev, as the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
for source in review/standin/*.cpp; do
    name=$(basename "${source}" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "${source}" -o "target/review/${name}"
done
