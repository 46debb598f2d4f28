#!/usr/bin/env bash
# Checks the model of a store that is restored from an older copy: each change is known in time, and none is undone.
source "$(dirname "$0")/common.sh"

expect_holds storerestore
for mutation in NO_ERA NO_PEER_ERA TRUST_COPY; do
    expect_caught storerestore "${mutation}"
done
exit "${status}"
