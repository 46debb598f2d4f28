#!/usr/bin/env bash
# Duties of one holder: tokens only grow, and two holders never act in turn within the time of a lease.
source "$(dirname "$0")/common.sh"

expect_holds duty
for mutation in NO_LEASE_CHECK REUSE_TOKEN RELEASE; do
    expect_caught duty "${mutation}"
done
exit "${status}"
