#!/usr/bin/env bash
# Configuration and leaving upstreams in real processes, and larger fleets in simulated time; see scripts/measure-control.
set -euo pipefail

root=$(cd "$(dirname "$0")/../.." && pwd)
folder=${BUILD_DIR:-${root}/build}/measure
"${root}/scripts/measure-control" >&2
cat "${folder}/control-processes.jsonl" "${folder}/control-simulated.jsonl"
