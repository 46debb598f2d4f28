#!/usr/bin/env bash
# Validates every settings file of the samples with the program that reads it, and checks that each program reports an
# unknown field. Guards against samples that do not match a changed schema.
set -euo pipefail

root=$(cd "$(dirname "$0")/../.." && pwd)
bin="${BUILD_DIR:-${root}/build}/bin"
run="${BUILD_DIR:-${root}/build}/golden/samples"
mkdir -p "${run}"

program_of() {
    case "$(basename "$1" .json)" in
    engine-* | spare-*) echo engine-standin ;;
    worker-* | database) echo service-standin ;;
    entry-*) echo hemlock-entry ;;
    control-*) echo hemlock-control ;;
    *) echo "$(basename "$1" .json)-standin" ;;
    esac
}

failed=0
for file in "${root}"/samples/*/settings/*.json; do
    program=$(program_of "${file}")
    if ! "${bin}/${program}" --settings "${file}" --check; then
        echo "${program} refuses ${file}"
        failed=1
    fi
    jq '.unknownField = 1' "${file}" >"${run}/unknown.json"
    if "${bin}/${program}" --settings "${run}/unknown.json" --check >"${run}/output" 2>&1 \
        || ! grep -q unknownField "${run}/output"; then
        echo "${program} does not report an unknown field in ${file}"
        failed=1
    fi
done
exit "${failed}"
