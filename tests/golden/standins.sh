#!/usr/bin/env bash
# Runs the stand-ins without the other programs: the behaviour that other tests rely on, and every injected fault.
source "$(dirname "$0")/golden.bash"

# Starts a stand-in with JSON settings and stores its address in ${addresses[NAME]}:
# start_standin NAME PROGRAM SETTINGS [COUNT] [ADDRESS_NAME]. COUNT is the number of addresses that the program announces,
# ADDRESS_NAME the one to store.
declare -A addresses=()
start_standin() {
    local settings="${run}/$1.json"
    printf '%s' "$3" >"${settings}"
    start_program "$1" "$2" "${settings}" "${4:-1}"
    addresses[$1]=$(jq -r --arg name "${5:-}" 'select($name == "" or .name == $name).address' "${run}/$1.out")
}

# Sends a request and prints the status and the body, or how the connection was closed:
# ask NAME METHOD PATH [BODY] [FILTER]. FILTER is a jq filter for the body.
ask() {
    local status body="${run}/body" code=0
    status=$(curl -s --max-time 30 -X "$2" -o "${body}" -w '%{http_code}' ${4:+--data-binary "$4"} \
        "http://${addresses[$1]}$3") || code=$?
    # curl reports a closed connection as an empty reply (52) or a reset (56), depending on what was sent before.
    case "${code},${status}" in
    0,*) ;;
    18,200) echo "$2 ${3%%\?*}: connection closed within the answer"; return ;;
    52,000 | 56,000) echo "$2 ${3%%\?*}: connection closed without an answer"; return ;;
    *) echo "$2 ${3%%\?*}: curl error ${code}"; return ;;
    esac
    echo "$2 ${3%%\?*}: ${status} $(jq -c "${5:-.}" "${body}" 2>/dev/null || cat "${body}")"
}

encode() {
    printf '%s' "$1" | base64 -w 0
}

put() {
    ask platform POST /v3/kv/put "{\"key\":\"$(encode "$1")\",\"value\":\"$(encode "$2")\"}" .header.revision
}

value() {
    ask platform POST /v3/kv/range "{\"key\":\"$(encode "$1")\"}" '(.kvs // []) | map(.value | @base64d)'
}

# Writes a value if the mod revision of the key matches: swap KEY REVISION VALUE.
swap() {
    local key
    key=$(encode "$1")
    ask platform POST /v3/kv/txn "$(jq -nc --arg key "${key}" --arg value "$(encode "$3")" --arg revision "$2" '{
        compare: [{key: $key, target: "MOD", result: "EQUAL", mod_revision: $revision}],
        success: [{request_put: {key: $key, value: $value}}], failure: [{request_range: {key: $key}}]}')" \
        '[.succeeded // false, .header.revision, (.responses[0].response_range.kvs[0].value // "" | @base64d)]'
}

key_value_store() {
    echo "== Compare-and-swap, lost answers and outage of the key-value store"
    swap slot 0 first
    swap slot 0 second
    swap slot 2 third
    ask platform POST /faults '{"loseAnswers":1}' .loseAnswers
    swap slot 3 fourth
    value slot
    ask platform POST /faults '{"outage":true}' .outage
    put slot fifth
    value slot
    ask platform POST /faults '{"outage":false}' .outage
    value slot
    head -c 1048577 /dev/zero | base64 -w 0 | jq -Rc '{key: "YmlnCg==", value: .}' >"${run}/big"
    ask platform POST /v3/kv/put "@${run}/big" .error
    ask platform POST /v3/lease/grant '{"TTL":"3"}' '[.ID, .TTL]'
    ask platform POST /v3/kv/put "{\"key\":\"$(encode leased)\",\"value\":\"eA==\",\"lease\":\"1000\"}" .header.revision
    ask platform POST /v3/lease/keepalive '{"ID":"1000"}' .result.TTL
    wait_until "the lease has lapsed" is_absent leased
    ask platform POST /v3/lease/keepalive '{"ID":"1000"}' .result.TTL
    echo "== Call counts and rate limits: one write a second is allowed"
    ask limited GET /stats "" '[.reads, .writes]'
    local call
    for call in $(seq 20); do
        curl -s -o "${run}/limited" "http://${addresses[limited]}/v3/kv/put" --data-binary '{"key":"YQ==","value":"YQ=="}'
    done
    ask limited GET /stats "" '{calls, all: (.writes + .refused), someRefused: (.refused > 0), allowed: (.writes > 0)}'
}

is_absent() {
    [[ $(value "$1") == *" []" ]]
}

watch() {
    echo "== A watch reports changes, and ends with an outage"
    local watcher code=0
    curl -s -N "http://${addresses[platform]}/v3/watch" \
        --data-binary "{\"create_request\":{\"key\":\"$(encode watched)\"}}" >"${run}/watch" &
    watcher=$!
    wait_until "the watch is open" has_lines "${run}/watch" 1
    put watched a
    put watched b
    wait_until "both changes are reported" has_lines "${run}/watch" 3
    jq -c '.result | [.created // false, (.events // [] | map(.kv.value | @base64d))]' "${run}/watch"
    ask platform POST /faults '{"outage":true}' .outage
    wait "${watcher}" || code=$?
    echo "the watch ended with curl code ${code}"
    ask platform POST /faults '{"outage":false}' .outage
}

cloud() {
    echo "== VMs: start, refusal, reclaim of a zone with notice"
    local shown='.vms | map([.id, .zone, .state, .pricePerHour])'
    ask platform GET /cloud/v1/vms "" "${shown}"
    ask platform POST /cloud/v1/vms '{"zone":"a","class":"small","service":"model"}' '[.id, .address, .pricePerHour]'
    ask platform POST /cloud/v1/vms '{"zone":"a","class":"small","service":"model"}'
    ask platform POST /faults '{"refuseStarts":true}' .refuseStarts
    ask platform POST /cloud/v1/vms '{"zone":"a","class":"small","service":"model","address":"127.0.0.1:7"}'
    ask platform POST /cloud/v1/reclaims '{"zone":"a","noticeMs":100}'
    ask platform GET "/cloud/v1/notices?after=0" "" '.notices | map([.seq, .vm])'
    ask platform GET "/cloud/v1/notices?after=1" "" '.notices | map([.seq, .vm])'
    wait_until "the zone's reclaimable VMs are gone" zone_is_empty a
    ask platform GET /cloud/v1/vms "" "${shown}"
    ask platform DELETE /cloud/v1/vms/d1 ""
    ask platform DELETE /cloud/v1/vms/d1 ""
    ask platform GET /weights/model ""
    ask platform GET /weights/other ""
}

zone_is_empty() {
    curl -fsS "http://${addresses[platform]}/cloud/v1/vms" \
        | jq -e --arg zone "$1" '[.vms[] | select(.zone == $zone and .reclaimable)] == []' >/dev/null
}

# Requests a streamed completion and prints the data of its events: complete NAME BODY.
complete() {
    curl -s --max-time 30 "http://${addresses[$1]}/v1/completions" --data-binary "$2" | sed -n 's/^data: //p'
}

engine() {
    echo "== Streams: whole, resumed by another reader, continued from another engine's tokens, cancelled"
    complete engine '{"prompt":"one two three","max_tokens":5,"attempt":"a1"}'
    complete engine '{"prompt":"one two three","max_tokens":5,"attempt":"a1","resume_from":3}'
    complete engine '{"prompt":"one two three","max_tokens":5,"attempt":"a2","resume_tokens":["four"," two"," two"]}'
    ask engine DELETE /v1/attempts/a1 ""
    ask engine POST /v1/completions '{"prompt":"one two three","attempt":"a1","resume_from":3}'
    echo "== A reader that leaves finds the whole stream later"
    ask engine POST /faults '{"stall":true}'
    curl -s -N "http://${addresses[engine]}/v1/completions" \
        --data-binary '{"prompt":"one two","max_tokens":3,"attempt":"a3"}' >"${run}/left" &
    local reader=$!
    wait_until "the engine works on the stream" has_in_flight 1
    kill "${reader}"
    wait "${reader}" 2>/dev/null || true
    ask engine POST /faults '{"stall":false}'
    complete engine '{"prompt":"one two","max_tokens":3,"attempt":"a3","resume_from":0}'
    echo "== Prefix cache: reuse, eviction, export to another engine and import"
    local prompt
    prompt=$(printf 'x%.0s' $(seq 600))
    complete engine "{\"prompt\":\"${prompt}\",\"max_tokens\":1,\"attempt\":\"c1\"}" | tail -n 1
    complete engine "{\"prompt\":\"${prompt}\",\"max_tokens\":1,\"attempt\":\"c2\"}" | tail -n 1
    ask engine POST /cache/export "{\"prompt\":\"${prompt}\"}" | tee "${run}/export"
    ask spare POST /cache/import "$(sed 's/^[^{]*//' "${run}/export")"
    complete spare "{\"prompt\":\"${prompt}\",\"max_tokens\":1,\"attempt\":\"c3\"}" | tail -n 1
    ask engine GET "/cache/events?after=0" "" '.events | map([.seq, .type])'
    ask spare POST /cache/import '{"model":"m","version":"0","blocks":[]}'
    echo "== Orders with and without fencing check"
    local target
    for target in engine spare; do
        ask "${target}" POST /orders '{"order":"o1","fencing":7,"role":"spare"}'
        ask "${target}" POST /orders '{"order":"o2","fencing":6,"role":"serve"}'
        ask "${target}" GET /orders ""
    done
    echo "== A prompt with the crash marker ends the process"
    ask spare POST /v1/completions '{"prompt":"please STANDIN-CRASH now","max_tokens":3}'
    ask spare GET /healthz ""
}

has_in_flight() {
    curl -fsS "http://${addresses[engine]}/load" | jq -e --argjson count "$1" '.inFlight == $count' >/dev/null
}

service() {
    echo "== Faults of a service and what its ledger holds"
    ask service POST /bookings '{"n":1}' .accepted
    ask service POST /faults '{"refuse":1,"closeBefore":1,"closeAfter":1}' '[.refuse, .closeBefore, .closeAfter]'
    ask service POST /bookings '{"n":2}'
    ask service POST /bookings '{"n":3}'
    ask service POST /bookings '{"n":4}'
    ask service POST /bookings '{"n":5}' .accepted
    ask service GET /bookings "" '[.state, .changes]'
    ask service GET /ledger "" '.entries | map(.body)'
    ask worker POST /bookings '{"n":6}' .accepted
    ask service GET /bookings "" '[.state, .changes]'
    ask worker GET /bookings "" '[.state, .changes]'
}

balancer() {
    echo "== The balancer leaves out a target that is gone and takes its connections to the others"
    ask admin GET /targets "" '.targets | map(.healthy)'
    local call
    for call in 1 2 3; do
        ask balancer POST "/through/${call}" '{"n":7}' .path
    done
    ask service POST /faults '{"exit":true}'
    wait_until "the balancer has noticed" has_healthy 1
    for call in 4 5 6; do
        ask balancer GET /ledger "" '.entries | length > 0'
    done
    ask admin POST /targets '{"targets":[]}'
    ask balancer GET /ledger ""
}

has_healthy() {
    curl -fsS "http://${addresses[admin]}/targets" \
        | jq -e --argjson count "$1" '[.targets[] | select(.healthy)] | length == $count' >/dev/null
}

session() {
    key_value_store
    watch
    cloud
    engine
    service
    balancer
}

start_standin platform platform-standin '{"listen":{}, "weights":{"models":{"model":10}},
    "prices":[{"zone":"a","class":"small","reclaimable":true,"pricePerHour":0.5}],
    "vms":[{"id":"d1","zone":"a","class":"small","reclaimable":false,"service":"model","address":"127.0.0.1:1"},
           {"id":"r1","zone":"a","class":"small","service":"model","address":"127.0.0.1:2"}],
    "spares":[{"zone":"a","class":"small","service":"model","address":"127.0.0.1:3"}]}'
start_standin limited platform-standin '{"listen":{}, "limits":{"writesPerSecond":1}}'
start_standin engine engine-standin '{"listen":{}, "model":"m", "stepMs":0, "cacheBlocks":2, "fencing":"checked"}'
start_standin spare engine-standin '{"listen":{}, "model":"m", "stepMs":0, "crashMarker":"STANDIN-CRASH"}'
start_standin service service-standin '{"listen":{}}'
start_standin worker service-standin "{\"listen\":{}, \"database\":\"http://${addresses[service]}\"}"
start_standin balancer balancer-standin \
    "{\"listen\":{}, \"targets\":[\"${addresses[service]}\",\"${addresses[worker]}\"], \"healthIntervalMs\":50}" 2 balancer
addresses[admin]=$(jq -r 'select(.name == "admin").address' "${run}/balancer.out")
wait_until "the balancer's targets are healthy" all_healthy "${addresses[admin]}"
play session
