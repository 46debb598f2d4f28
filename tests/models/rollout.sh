#!/usr/bin/env bash
# Verdict of a roll-out: it never changes for an order, with late writes, a new order and a restored store.
source "$(dirname "$0")/common.sh"

pan_flags=-E
expect_holds rollout
for mutation in NO_RECORD_COMPARE NO_ORDER_COMPARE FORGET_VERDICT; do
    expect_caught rollout "${mutation}"
done
exit "${status}"
