#!/usr/bin/env bash
# Memory of an entry process at 100, 1,000 and 5,000 open streams (SIZES). Each size has its own processes. One JSON line a size:
# resident set before the load and its maximum within it, and the difference per stream.
set -euo pipefail

root=$(cd "$(dirname "$0")/../.." && pwd)
bin="${BUILD_DIR:-${root}/build}/bin"
work=$(mktemp -d)
pids=()

stop_all() {
    [[ ${#pids[@]} -gt 0 ]] && kill "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    pids=()
}
trap 'stop_all; rm -rf "${work}"' EXIT

# run PROGRAM NAME SETTINGS: starts a program and waits for its address in the file NAME.out.
run() {
    echo "$3" >"${work}/$2.json"
    "${bin}/$1" --settings "${work}/$2.json" >"${work}/$2.out" 2>"${work}/$2.log" &
    pids+=($!)
    until grep -q listening "${work}/$2.out"; do kill -0 $!; done
}

address() {
    jq -r --arg name "$2" 'select(.name == $name).address' "${work}/$1.out"
}

resident_kb() {
    sed -n 's/^VmRSS:[[:space:]]*\([0-9]*\) kB/\1/p' "/proc/$1/status"
}

any='{"address":"127.0.0.1","port":0}'
# Enough upstreams for the initial limit of requests in progress; all are one engine.
upstreams=700
ulimit -n 20000
for streams in ${SIZES:-100 1000 5000}; do
    run engine-standin engine \
        "{\"id\":\"engine\",\"listen\":${any},\"stepMs\":250,\"batchGrowth\":0,\"maxBatch\":20000,\"prefillTokensPerStep\":1000000}"
    engine=$(jq -r .address "${work}/engine.out")
    run platform-standin platform "$(jq -n --argjson any "${any}" --arg engine "${engine}" --argjson count "${upstreams}" \
        '{id: "platform", listen: $any, vms: [range($count) | {id: "vm-\(.)", zone: "a", class: "gpu",
          reclaimable: true, service: "model", address: $engine}]}')"
    platform=$(jq -r .address "${work}/platform.out" | head -n 1)
    key=$(printf key | sha256sum | cut -d ' ' -f 1)
    jq -n --arg key "${key}" '{sections: {all: {team: "measure", services: [{id: "model", kind: "model"}],
        clientAccounts: [{id: "a", keySha256: $key}], rules: [{clientAccount: "a", service: "model"}]}}}' \
        >"${work}/document.json"
    "${bin}/hemlockctl" --store "${platform}" init "${work}/document.json" >/dev/null
    run hemlock-entry entry "{\"id\":\"entry\",\"zone\":\"a\",\"listen\":${any},\"control\":${any},\"controlKey\":\"k\",
        \"store\":\"${platform}\",\"policy\":\"prefix-affinity\"}"
    entry_pid=$!
    until [[ -n "$(address entry control)" ]]; do :; done
    run hemlock-control control "{\"id\":\"node\",\"zone\":\"a\",\"listen\":${any},\"controlKey\":\"k\",
        \"store\":\"${platform}\",\"cloud\":\"${platform}\",\"entryControlAddress\":\"$(address entry control)\",
        \"entryAddress\":\"$(address entry listen)\"}"
    until grep -q "\"serving\":${upstreams}," "${work}/entry.log"; do kill -0 "${entry_pid}"; sleep 0.2; done
    before=$(resident_kb "${entry_pid}")
    jq -n --arg entry "$(address entry listen)" --argjson streams "${streams}" \
        '{ratePerS: ($streams / 8), durationS: 8, seed: 1, targets: [{name: "path", addresses: [$entry],
          headers: {Authorization: "Bearer key"}, requests: [{path: "/v1/completions", promptTokens: 40,
          body: {model: "model", max_tokens: 80, stream: true}, idHeader: "X-Request-Id"}]}]}' >"${work}/load.json"
    "${bin}/hemlock-load" run "${work}/load.json" >"${work}/load.out" 2>"${work}/load.log" &
    load_pid=$!
    most=0
    open=0
    while kill -0 "${load_pid}" 2>/dev/null; do
        now=$(resident_kb "${entry_pid}")
        [[ ${now} -gt ${most} ]] && most=${now}
        count=$(curl -fsS "http://$(address entry listen)/healthz" >/dev/null && find "/proc/${entry_pid}/fd" | wc -l)
        [[ ${count} -gt ${open} ]] && open=${count}
        sleep 0.5
    done
    wait "${load_pid}" || true
    jq -nc --argjson streams "${streams}" --argjson before "${before}" --argjson most "${most}" --argjson open "${open}" \
        '{figure: "entry-stream-memory", streams: $streams, residentKbBefore: $before, residentKbMost: $most,
          descriptorsMost: $open, kbPerStream: (($most - $before) / $streams * 100 | round / 100)}'
    stop_all
done
