# Functions that play a session of callers against a deployment that scripts/deployment.sh has started, and print it in
# a form that does not depend on ports, on the routing or on time. Set "deployment" to the sample's name.

caller_address() {
    address_of "${deployment}" balancer balancer
}

api_key() {
    jq -r --arg account "$1" '.[$account] // "unknown-key"' "${root}/samples/${deployment}/keys.json"
}

# Sends a request through the balancer and prints status, Retry-After and body:
# send ACCOUNT METHOD PATH BODY [HEADER...]. The whole answer stays in ${run}/answer.
send() {
    local account=$1 method=$2 path=$3 body=$4 header
    shift 4
    local options=(-sS --max-time 60 -X "${method}" -D "${run}/head" -o "${run}/answer"
        -H "Authorization: Bearer $(api_key "${account}")")
    for header in "$@"; do
        options+=(-H "${header}")
    done
    [[ -z "${body}" ]] || options+=(--data-binary "${body}")
    echo "> ${method} ${path} as ${account}"
    for header in "$@"; do
        echo "> ${header//.engine-[0-9]*/.UPSTREAM}"
    done
    curl "${options[@]}" "http://$(caller_address)${path}"
    echo "< $(sed -n 's/^HTTP[^ ]* \([0-9]*\).*/\1/p' "${run}/head" | tail -n 1)"
    sed -n 's/^\(Retry-After: .*\)\r$/< \1/p' "${run}/head"
    # Which upstream answers depends on the routing; blank lines only separate events.
    sed -E -e 's/^id: ([0-9]*)\..*/id: \1.UPSTREAM/' -e 's/\b(engine|worker)-[0-9]+/UPSTREAM/g' -e '/^$/d' \
        "${run}/answer"
    [[ -z $(tail -c 1 "${run}/answer") ]] || echo
    echo
}

# The text that one engine generates for a completion's body, asked directly.
engine_text() {
    curl -fsS "http://$(address_of "${deployment}" engine-1)/v1/completions" \
        --data-binary "$(jq -c '.stream = false' <<<"$1")" | jq -rj .text
}

# Starts a streamed completion and waits for its first token: begin_stream ACCOUNT BODY REQUEST. The process
# identifier is in stream_pid, the identifier of the upstream that serves it in stream_upstream.
begin_stream() {
    local what="the first token of $3"
    curl -sS -N --max-time 60 -H "Authorization: Bearer $(api_key "$1")" -H "X-Request-Id: $3" -o "${run}/answer" \
        --data-binary "$2" "http://$(caller_address)/v1/completions" &
    stream_pid=$!
    wait_until "${what}" has_lines "${run}/answer" 2
    stream_upstream=$(sed -n 's/^id: 1\.//p' "${run}/answer")
}

# Waits for the end of the stream and prints what the caller has got: finish_stream TOKENS EXPECTED_TEXT.
finish_stream() {
    wait "${stream_pid}"
    local numbers=no text=no moved=no
    [[ $(sed -n 's/^id: \([0-9]*\)\..*/\1/p' "${run}/answer") == "$(seq "$1")" ]] && numbers=yes
    [[ "$(answer_text)" == "$2" ]] && text=yes
    echo "every token from 1 to $1 once and in order: ${numbers}"
    echo "text as from one engine: ${text}"
    [[ $(sed -n 's/^id: [0-9]*\.//p' "${run}/answer" | sort -u | wc -l) -gt 1 ]] && moved=yes
    echo "moved to another upstream: ${moved}"
    echo "last event: $(grep '^data: ' "${run}/answer" | tail -n 1)"
    echo
}

# Body of a completion: completion_body MODEL MAX_TOKENS STREAM PROMPT.
completion_body() {
    jq -nc --arg model "$1" --argjson tokens "$2" --argjson stream "$3" --arg prompt "$4" \
        '{model: $model, prompt: $prompt, max_tokens: $tokens, stream: $stream}'
}

# Text of the answer to the latest request, streamed or whole.
answer_text() {
    if grep -q '^data: ' "${run}/answer"; then
        sed -n 's/^data: \({.*\)/\1/p' "${run}/answer" | jq -rj '.choices[0].text // empty'
    else
        jq -rj '.choices[0].text' "${run}/answer"
    fi
}

# Calls that the service has executed, without attempt identifiers.
ledger() {
    curl -fsS "http://$(address_of "${deployment}" database)/ledger" | jq -c '.entries[] | {seq, path, key, body}'
}

# Switches faults of an upstream: set_faults NAME JSON.
set_faults() {
    curl -fsS -o "${run}/faults" "http://$(address_of "${deployment}" "$1")/faults" --data-binary "$2"
}

# Announces the reclaim of the zone of a VM, or kills a VM's process without notice.
reclaim_zone_of() {
    local platform zone
    platform="http://$(address_of "${deployment}" platform)"
    zone=$(curl -fsS "${platform}/cloud/v1/vms" | jq -r --arg id "$1" '.vms[] | select(.id == $id).zone')
    curl -fsS -o "${run}/reclaimed" "${platform}/cloud/v1/reclaims" \
        --data-binary "{\"zone\":\"${zone}\",\"onDemand\":true,\"noticeMs\":$2}"
}

kill_process_of() {
    kill -KILL "$(<"${run}/${deployment}/$1.pid")"
}
