#!/usr/bin/env bash
# Usage reports with late writes: no window is reported with two different counts.
source "$(dirname "$0")/common.sh"

expect_holds lateusage
for mutation in ONE_RECORD NEW_COUNTS; do
    expect_caught lateusage "${mutation}"
done
exit "${status}"
