#!/usr/bin/env bash
# Commit and distribution of the configuration: no commit is lost, and an active version never returns to an older one.
source "$(dirname "$0")/common.sh"

expect_holds configcommit
for mutation in BLIND_WRITE IGNORE_COMMIT_ID; do
    expect_caught configcommit "${mutation}"
done
expect_holds configcommit DISTRIBUTION
for mutation in APPLY_OLDER SERVE_EARLY ENTRY_REVERTS; do
    expect_caught configcommit "${mutation}" DISTRIBUTION
done
exit "${status}"
