#!/usr/bin/env bash
# Single against group commit of intents, a store outage, and the size of records; see scripts/measure-intents.
set -euo pipefail

root=$(cd "$(dirname "$0")/../.." && pwd)
"${root}/scripts/measure-intents" >&2
cat "${BUILD_DIR:-${root}/build}/measure/intents.jsonl"
