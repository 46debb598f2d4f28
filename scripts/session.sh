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
    # Event identifiers name the upstream; blank lines only separate events.
    sed -e 's/^id: \([0-9]*\)\..*/id: \1.UPSTREAM/' -e '/^$/d' "${run}/answer"
    [[ -z $(tail -c 1 "${run}/answer") ]] || echo
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
