#!/usr/bin/env bash
# Duties of a single holder over a restore of the store: fencing tokens never decrease, and no two nodes use the same.
source "$(dirname "$0")/common.sh"

expect_holds dutyrestore
for mutation in ANSWER_FIRST RESUME OLD_TOKENS NO_WAIT FRESH_CLAIM; do
    expect_caught dutyrestore "${mutation}"
done
exit "${status}"
