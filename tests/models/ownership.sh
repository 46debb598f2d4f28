#!/usr/bin/env bash
# Checks tests/models/ownership.pml: the model must hold, and each mutation must violate an assertion.
set -uo pipefail

source_folder=$(cd "$(dirname "$0")" && pwd)
work="${BUILD_DIR:-${source_folder}/../../build}/models"
mkdir -p "${work}"
cd "${work}" || exit 1

# Runs the checker with the given macros and prints "holds", "violated" or "incomplete".
check() {
    local name=$1
    shift
    mkdir -p "${name}"
    (
        cd "${name}" || exit 1
        rm -f pan ./*.trail
        spin "$@" -a "${source_folder}/ownership.pml" >spin.log 2>&1 || exit 1
        # The search of a mutation ends early, so optimized compilation would take longer than it saves.
        cc "$([[ $# -eq 0 ]] && echo -O2 || echo -O0)" -DSAFETY -DVECTORSZ=2048 -DMEMLIM=2048 -w -o pan pan.c >cc.log 2>&1 || exit 1
        # Processes may wait for more work in the end state, so invalid end states are not reported (-E).
        timeout 20 ./pan -E -m200000 >pan.log 2>&1
    )
    local log="${name}/pan.log"
    if grep -q 'assertion violated' "${log}"; then
        echo violated
    elif grep -q 'errors: 0' "${log}" && ! grep -q -e 'Search not completed' -e 'max search depth too small' "${log}"; then
        echo holds
    else
        echo incomplete
    fi
}

failures=0
expect() {
    local expected=$1 name=$2
    shift 2
    local result
    result=$(check "${name}" "$@")
    echo "${name}: ${result} ($(grep -o '[0-9]* states, stored' "${name}/pan.log" 2>/dev/null))"
    if [[ "${result}" != "${expected}" ]]; then
        echo "expected that ${name} is: ${expected}" >&2
        failures=$((failures + 1))
    fi
}

expect holds ownership
for mutation in NO_FENCE DISPATCH_BEFORE_COMMIT RETRY_MAY_HAVE_RUN FORGET_OPEN_INTENTS LOST_ANSWER_IS_SUCCESS \
    FORGET_FORWARDING; do
    expect violated "${mutation}" "-D${mutation}"
done
[[ ${failures} -eq 0 ]]
