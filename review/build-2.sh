#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of the deploy file. Run in the root of the repository or
# anywhere else; the programs are written to target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$(basename "${source}" .cpp)" "${source}"
done
