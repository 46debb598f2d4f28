#!/usr/bin/env bash
# Duties of a single holder: fencing tokens never decrease, and two holders never alternate within one lease time.
source "$(dirname "$0")/common.sh"

expect_holds duty
for mutation in NO_LEASE_CHECK REUSE_TOKEN RELEASE; do
    expect_caught duty "${mutation}"
done
exit "${status}"
