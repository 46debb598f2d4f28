#!/usr/bin/env bash
# Checks the model of the peer that reads the store for its zone: no VM acts on an old state, and revisions never go
# back.
source "$(dirname "$0")/common.sh"

expect_holds storereader
for mutation in NO_VALIDITY NO_FALLBACK OLD_LIST; do
    expect_caught storereader "${mutation}"
done
exit "${status}"
