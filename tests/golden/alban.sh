#!/usr/bin/env bash
# Runs a full session of Disfraces Navideños Albán e Hijos and records every response and the calls its service executed.
source "$(dirname "$0")/golden.bash"
deployment=alban

session() {
    inventory=$(<"${root}/samples/alban/prompts/inventory.txt")
    sizing=$(<"${root}/samples/alban/prompts/sizing.txt")

    echo "== A mother asks for a size"
    send families POST /v1/completions "$(completion_body fitting-assistant 24 false "${sizing}")" "X-Request-Id: sizing-1"

    echo "== A parish sends its inventory and asks for a fitting plan"
    plan=$(completion_body fitting-assistant 48 true "${inventory}")
    send parish-council-san-telmo POST /v1/completions "${plan}" "X-Request-Id: plan-1"

    echo "== The parish lost its connection after token 40 and reads the rest"
    last_event=$(sed -n 's/^id: \(40\..*\)/\1/p' "${run}/answer")
    send parish-council-san-telmo POST /v1/completions "${plan}" "X-Request-Id: plan-1" "Last-Event-ID: ${last_event}"

    echo "== The parish looks at the stock, books and holds the deposit"
    send parish-council-san-telmo GET /services/reservations/availability/angel-wings-116 "" "X-Request-Id: stock-1"
    booking='{"play":"2026-12-21","costumes":[{"role":"angel","size":116,"count":4},{"role":"Balthasar","size":152,"count":1}]}'
    send parish-council-san-telmo POST /services/reservations/bookings "${booking}" \
        "X-Request-Id: booking-1" "Idempotency-Key: san-telmo-booking-2026"
    send parish-council-san-telmo POST /services/reservations/deposit-holds '{"euros":120,"booking":"san-telmo-2026"}' \
        "X-Request-Id: deposit-1" "Idempotency-Key: san-telmo-deposit-2026"

    echo "== The parish sends the booking again and gets the same answer"
    send parish-council-san-telmo POST /services/reservations/bookings "${booking}" \
        "X-Request-Id: booking-2" "Idempotency-Key: san-telmo-booking-2026"

    echo "== The same key with another booking, and a booking without a key"
    send parish-council-san-telmo POST /services/reservations/bookings '{"play":"2026-12-22"}' \
        "X-Request-Id: booking-3" "Idempotency-Key: san-telmo-booking-2026"
    send parish-council-san-telmo POST /services/reservations/bookings "${booking}" "X-Request-Id: booking-4"

    echo "== Callers without access"
    send stranger POST /v1/completions "$(completion_body fitting-assistant 8 false "${sizing}")" "X-Request-Id: sizing-2"
    send families GET /services/reservations/availability/angel-wings-116 "" "X-Request-Id: stock-2"

    echo "== A zone is reclaimed while its engine writes a long plan; then the deposit is released"
    local long text
    long=$(completion_body fitting-assistant 800 true "${inventory}")
    text=$(engine_text "${long}")
    begin_stream diocese-schools "${long}" plan-2
    reclaim_zone_of "${stream_upstream}" 300
    finish_stream 800 "${text}"
    send parish-council-san-telmo POST /services/reservations/deposit-holds '{"euros":0,"booking":"san-telmo-2026"}' \
        "X-Request-Id: deposit-2" "Idempotency-Key: san-telmo-deposit-2026-release"

    echo "== What the reservations service has executed"
    ledger
}

start_deployment "${deployment}"
play session
