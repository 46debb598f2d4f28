#!/usr/bin/env bash
# Checks the model of the drain and reclaim of an upstream: no new requests after the bound, no stream lost, and
# the same state names as the chart.
source "$(dirname "$0")/common.sh"

chart_states=$(jq -r '.states | keys[]' "${source_dir}/charts/upstream.json" | sort)
model_states=$(sed -n 's/^mtype = { \(.*\) };$/\1/p' "${models}/drain.pml" | tr -d ' ' | tr ',' '\n' | sort)
if [[ "${chart_states}" == "${model_states}" ]]; then
    echo "drain: same states as charts/upstream.json"
else
    echo "drain: the states differ from charts/upstream.json:" >&2
    diff <(echo "${chart_states}") <(echo "${model_states}") >&2
    status=1
fi

expect_holds drain
# -E ignores deadlocks, so that the assertions themselves must catch the mutations.
pan_flags=-E
for mutation in LIST_REVIVES NEWS_IGNORED; do
    expect_caught drain "${mutation}"
done
pan_flags=
expect_caught drain NO_REPLAY
exit "${status}"
