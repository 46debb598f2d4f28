# Functions for scripts that run a sample deployment on loopback ports of the system's choice. Source it after setting
# "bin" (folder of the programs) and "run" (folder for settings, output and logs). Every started process is stopped by
# its process id when the script ends, also on failure.

readonly wait_seconds=60
declare -a system_pids=()
declare -a platform_pids=()

# Waits until a command succeeds: wait_until WHAT COMMAND... Polls, since the events are in files of other processes.
wait_until() {
    local what=$1
    shift
    local deadline=$((SECONDS + wait_seconds))
    until "$@"; do
        if ((SECONDS >= deadline)); then
            echo "no success within ${wait_seconds} s: ${what}" >&2
            return 1
        fi
        sleep 0.05
    done
}

has_lines() {
    [[ -e "$1" && $(wc -l <"$1") -ge $2 ]]
}

# Starts a program and waits until it has announced its addresses: start_program NAME PROGRAM SETTINGS [COUNT].
start_program() {
    local name=$1 program=$2 settings=$3 count=${4:-1}
    "${bin}/${program}" --settings "${settings}" >"${settings%.json}.out" 2>"${settings%.json}.log" &
    case "${program}" in
    hemlock-* | balancer-standin) system_pids+=("$!") ;;
    *) platform_pids+=("$!") ;;
    esac
    echo "$!" >"${settings%.json}.pid"
    wait_until "${name} listens" has_lines "${settings%.json}.out" "${count}"
}

# Address that a program announced: address_of DEPLOYMENT NAME [ANNOUNCED].
address_of() {
    local out="${run}/$1/$2.out"
    if [[ $# -ge 3 ]]; then
        jq -r --arg name "$3" 'select(.name == $name).address' "${out}"
    else
        jq -rs '.[0].address' "${out}"
    fi
}

# Stops processes by their ids; one that ignores SIGTERM is killed after a while.
stop_processes() {
    local pid
    for pid in "$@"; do
        kill -TERM "${pid}" 2>/dev/null || true
    done
    for pid in "$@"; do
        local deadline=$((SECONDS + 20))
        while kill -0 "${pid}" 2>/dev/null && ((SECONDS < deadline)); do
            sleep 0.05
        done
        kill -KILL "${pid}" 2>/dev/null || true
        wait "${pid}" 2>/dev/null || true
    done
}

# Stops all started processes. The platform goes last, since a graceful shutdown of the system writes to its store.
stop_deployments() {
    stop_processes "${system_pids[@]}"
    stop_processes "${platform_pids[@]}"
    system_pids=()
    platform_pids=()
}

# Writes a settings file from a sample: make_settings SAMPLE TARGET JQ_FILTER [JQ_OPTIONS...]. Ports become 0.
make_settings() {
    local sample=$1 target=$2 filter=$3
    shift 3
    jq "$@" "(.listen.port = 0) | ${filter}" "${sample}" >"${target}"
}

start_upstream() {
    local folder=$1 out=$2 name=$3 program=$4 filter=$5
    shift 5
    make_settings "${folder}/settings/${name}.json" "${out}/${name}.json" "${filter}" "$@"
    start_program "${name}" "${program}" "${out}/${name}.json"
}

# Tells the cloud API of the VMs, and of the idle ones that later starts take, at the addresses that their processes
# announced.
add_vms() {
    local folder=$1 out=$2 platform=$3 list path id vm
    for list in vms spares; do
        path=/cloud/v1/${list}
        while IFS= read -r vm; do
            id=$(jq -r .id <<<"${vm}")
            jq --arg address "$(jq -rs '.[0].address' "${out}/${id}.out")" '.address = $address' <<<"${vm}" \
                | curl -fsS -o "${out}/vm.json" "http://${platform}${path}" --data-binary @-
        done < <(jq -c ".${list}[]" "${folder}/settings/platform.json")
    done
}

all_healthy() {
    curl -fsS "http://$1/targets" | jq -e '.targets | length > 0 and all(.healthy)' >/dev/null
}

# Whether every entry process knows at least this many upstreams, by the last snapshot in each log.
entries_know() {
    local out=$1 count=$2 log
    for log in "${out}"/entry-*.log; do
        grep '"event":"snapshot-applied"' "${log}" | tail -n 1 \
            | jq -e --argjson count "${count}" '.upstreams >= $count' >/dev/null || return 1
    done
}

# Starts all processes of samples/NAME, commits its document and waits until callers can be served.
start_deployment() {
    local name=$1 folder="${root}/samples/$1" out="${run}/$1" file id platform store
    mkdir -p "${out}"
    # The platform starts first, since the engines load from its weight store: it learns the VMs' addresses later.
    start_upstream "${folder}" "${out}" platform platform-standin '.vms = [] | .spares = []'
    platform=$(address_of "${name}" platform)
    store="http://${platform}"
    start_upstream "${folder}" "${out}" database service-standin .
    local database
    database="http://$(address_of "${name}" database)"
    for file in "${folder}"/settings/{engine,spare}-*.json; do
        start_upstream "${folder}" "${out}" "$(basename "${file}" .json)" engine-standin '.weightStore = $store' \
            --arg store "${store}"
    done
    for file in "${folder}"/settings/worker-*.json; do
        start_upstream "${folder}" "${out}" "$(basename "${file}" .json)" service-standin '.database = $database' \
            --arg database "${database}"
    done
    local entries=()
    for file in "${folder}"/settings/entry-*.json; do
        id=$(basename "${file}" .json)
        make_settings "${file}" "${out}/${id}.json" '.control.port = 0 | .store = $store' --arg store "${store}"
        start_program "${id}" hemlock-entry "${out}/${id}.json" 2
        entries+=("$(address_of "${name}" "${id}" listen)")
    done
    add_vms "${folder}" "${out}" "${platform}"
    "${bin}/hemlockctl" --store "${store}" init "${folder}/document.json" >"${out}/init.out"
    for file in "${folder}"/settings/control-*.json; do
        id=$(basename "${file}" .json)
        local entry="entry-${id#control-}"
        make_settings "${file}" "${out}/${id}.json" \
            '.store = $store | .cloud = $store | .entryControlAddress = $control | .entryAddress = $entry' \
            --arg store "${store}" --arg control "$(address_of "${name}" "${entry}" control)" \
            --arg entry "$(address_of "${name}" "${entry}" listen)"
        start_program "${id}" hemlock-control "${out}/${id}.json"
    done
    make_settings "${folder}/settings/balancer.json" "${out}/balancer.json" '.admin.port = 0 | .targets = $targets' \
        --argjson targets "$(printf '%s\n' "${entries[@]}" | jq -R . | jq -s .)"
    start_program balancer balancer-standin "${out}/balancer.json" 2
    wait_until "all entry processes of ${name} are healthy" all_healthy "$(address_of "${name}" balancer admin)"
    wait_until "all entry processes of ${name} know all upstreams" entries_know "${out}" \
        "$(jq '[.vms[] | select(.service)] | length' "${folder}/settings/platform.json")"
}
