#!/usr/bin/env bash
# Runs a full session of Cascade Frostline Software and records every response and the calls its service executed.
source "$(dirname "$0")/golden.bash"
deployment=frostline

session() {
    sensor_log=$(<"${root}/samples/frostline/prompts/sensor-log.txt")

    echo "== The night crew asks for a summary of the sensor log"
    send road-district-north POST /v1/completions "$(completion_body hazard-writer 40 true "${sensor_log}")" \
        "X-Request-Id: summary-1"
    summary=$(answer_text)

    echo "== The district drafts the morning bulletin from the summary"
    bulletin="$(<"${root}/samples/frostline/prompts/bulletin.txt") ${summary}"
    send road-district-north POST /v1/completions "$(completion_body hazard-writer 32 false "${bulletin}")" \
        "X-Request-Id: bulletin-1"

    echo "== A controller flips a panel and reads it back"
    send sign-controllers POST /services/sign-control/panels/17 '{"show":"BLACK ICE"}' \
        "X-Request-Id: flip-1" "Idempotency-Key: panel-17-flip-1"
    send sign-controllers GET /services/sign-control/panels/17 "" "X-Request-Id: readback-1"

    echo "== Three of four workers refuse a flip as not run; the fourth runs it"
    for worker in worker-1 worker-2 worker-3; do
        set_faults "${worker}" '{"refuse":1}'
    done
    send sign-controllers POST /services/sign-control/panels/18 '{"show":"BRIDGE ICES FIRST"}' \
        "X-Request-Id: flip-2" "Idempotency-Key: panel-18-flip-1"
    for worker in worker-1 worker-2 worker-3; do
        set_faults "${worker}" '{"refuse":0}'
    done

    echo "== The worker breaks off after the flip; the same key is never run again"
    for worker in worker-1 worker-2 worker-3 worker-4; do
        set_faults "${worker}" '{"closeAfter":1}'
    done
    send sign-controllers POST /services/sign-control/panels/19 '{"show":"ROAD CLOSED"}' \
        "X-Request-Id: flip-3" "Idempotency-Key: panel-19-flip-1"
    for worker in worker-1 worker-2 worker-3 worker-4; do
        set_faults "${worker}" '{"closeAfter":0}'
    done
    send sign-controllers POST /services/sign-control/panels/19 '{"show":"ROAD CLOSED"}' \
        "X-Request-Id: flip-4" "Idempotency-Key: panel-19-flip-1"
    send sign-controllers GET /services/sign-control/panels/19 "" "X-Request-Id: readback-2"

    echo "== An engine dies without notice while it writes a long bulletin"
    local long text
    long=$(completion_body hazard-writer 800 true "${sensor_log}")
    text=$(engine_text "${long}")
    begin_stream road-district-south "${long}" bulletin-2
    kill_process_of "${stream_upstream}"
    finish_stream 800 "${text}"

    echo "== A lot of the ski area may not flip panels without a key"
    send summit-ski-lots POST /services/sign-control/panels/17 '{"show":"OPEN"}' "X-Request-Id: flip-5"

    echo "== What the sign control has executed"
    ledger
}

start_deployment "${deployment}"
play session
