# Common part of the golden sessions. Source it from NAME.sh; it defines play, which runs a function, compares what that
# prints with NAME.golden and shows the difference. With --update the transcript replaces the golden file. BUILD_DIR
# names the build folder. All started processes are stopped when the script ends.
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
