# Functions for the model scripts, which verify that a model holds and that each mutation of it is detected.

set -uo pipefail

models=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
source_dir=$(cd "${models}/../.." && pwd)
work=${BUILD_DIR:?names the build folder}/models
mkdir -p "${work}"
status=0

# verify MODEL NAME SPIN_FLAGS...: runs the verifier in the folder MODEL-NAME; pan_flags holds options of the verifier.
# Returns 0 when it finds no error, 1 when it finds one, and 2 when the search could not be run or completed.
verify() {
    local model=$1 name=$2
    shift 2
    local folder=${work}/${model}-${name}
    mkdir -p "${folder}"
    (
        cd "${folder}" || exit 2
        spin -a "$@" "${models}/${model}.pml" >spin.log 2>&1 || exit 2
        cc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=2048 -o pan pan.c 2>cc.log || exit 2
        # Stops the verification of a model that has grown too large, so that it does not delay the test run.
        timeout 12 ./pan -m200000 ${pan_flags:-} >pan.log 2>&1 || exit 2
        # An incomplete search without errors proves nothing.
        if grep -Eq 'max search depth too small|out of memory|Search not completed' pan.log && grep -q 'errors: 0' pan.log; then
            exit 2
        fi
        grep -q 'errors: 0' pan.log && exit 0
        grep -Eq 'errors: [1-9]' pan.log && exit 1
        exit 2
    )
}

# expect_holds MODEL [PART]: the verifier must find no error; PART is a macro that selects a part of the model.
expect_holds() {
    local model=$1 part=${2:-}
    if verify "${model}" "holds${part}" ${part:+"-D${part}"}; then
        echo "${model} ${part}: holds, $(grep -o '[0-9]* states, stored' "${work}/${model}-holds${part}/pan.log")"
    else
        echo "${model} ${part}: does not hold or could not be run; see ${work}/${model}-holds${part}" >&2
        status=1
    fi
}

# expect_caught MODEL MUTATION [PART]: the verifier must find an error in the model with the macro MUTATION.
expect_caught() {
    local model=$1 mutation=$2 part=${3:-}
    verify "${model}" "${mutation}" "-D${mutation}" ${part:+"-D${part}"}
    local result=$?
    if [[ ${result} -eq 1 ]]; then
        echo "${model}: ${mutation} is caught: $(grep -Eom1 'assertion violated.*|invalid end state' \
            "${work}/${model}-${mutation}/pan.log")"
    else
        echo "${model}: ${mutation} is not caught (result ${result}); see ${work}/${model}-${mutation}" >&2
        status=1
    fi
}
