# Shared part of the golden tests, sourced by NAME.sh. Defines play, which runs a function, compares its output with
# NAME.golden and prints the difference; with --update the output replaces the golden file. BUILD_DIR is the build
# folder. All started processes are stopped when the script exits.
set -euo pipefail

name=$(basename "$0" .sh)
root=$(cd "$(dirname "$0")/../.." && pwd)
build=${BUILD_DIR:-${root}/build}
bin="${build}/bin"
run="${build}/golden/${name}"
update=${1:-}
rm -rf "${run}"
mkdir -p "${run}"
source "${root}/scripts/deployment.sh"
source "${root}/scripts/session.sh"
trap stop_deployments EXIT

play() {
    local transcript="${run}/transcript.txt"
    "$1" >"${transcript}"
    if [[ "${update}" == "--update" ]]; then
        cp "${transcript}" "${root}/tests/golden/${name}.golden"
        return
    fi
    diff -u "${root}/tests/golden/${name}.golden" "${transcript}"
}
