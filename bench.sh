#!/usr/bin/env bash
# Benchmarks with their bounds (bounds.json), in under 5 minutes: ./bench.sh [regexp of benchmarks].
# The raw output goes to bench.txt, for go tool -modfile=tools/go.mod benchstat.
set -euo pipefail
cd "$(dirname "$0")"
match=${1:-.}
out=${BENCH_OUT:-bench.txt}
run() { go test -run '^$' "$@" | tee -a "$out" | grep -E '^(Benchmark|FAIL|panic)' || true; }
: >"$out"
run -bench "$match" -benchtime 100ms ./internal/route/... ./internal/limit/... ./internal/observe/... ./internal/config/... ./internal/upstream/completions ./internal/once/...
# Whole runs of a simulation, each with its seed.
run -bench "$match" -benchtime 1x ./internal/proof/policy
if [ "$match" = . ]; then
	run -bench 'Added|Stream|InForce' -benchtime 2s ./internal/proof/bench
	run -bench 'EntryRate|EntryLoad|AgentLoad|Keys|AtCap|Control|Fetch|Change|Poll' -benchtime 1x ./internal/proof/bench
else
	run -bench "$match" -benchtime 1x ./internal/proof/bench
fi
echo
go run ./internal/proof/benchtable <"$out"
