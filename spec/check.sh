#!/usr/bin/env bash
# Checks the lease with spin: every safe variant must hold at its bound, and every broken one must be refuted.
set -euo pipefail
spec=$(cd "$(dirname "$0")" && pwd)/lease.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# run NAME EXPECTED FLAG... prints the outcome and counts it as failed if it is not the expected one.
run() {
	local name=$1 expected=$2
	shift 2
	mkdir -p "$work/$name"
	(
		cd "$work/$name"
		spin -a "$@" "$spec" >spin.out
		gcc -O2 -w -DSAFETY -DNOREDUCE -DCOLLAPSE -DMEMLIM=6000 -o pan pan.c
		./pan -m2000000 -n >pan.out 2>&1 || true
	)
	local errors states
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$work/$name/pan.out")
	states=$(awk '/states, stored/ { print $1; exit }' "$work/$name/pan.out")
	local outcome=incomplete
	if [ "$errors" = 1 ] && grep -q 'assertion violated' "$work/$name/pan.out"; then
		outcome=refuted
	elif [ "$errors" = 0 ] && ! grep -qE 'max search depth too small|out of memory' "$work/$name/pan.out"; then
		outcome=holds
	fi
	printf '%-20s %-10s expected %-8s %s states (%s)\n' "$name" "$outcome" "$expected" "$states" "$*"
	[ "$outcome" = "$expected" ] || failed=1
}

run three-hosts holds -DGENERATIONS=4
run two-hosts holds -DFIRST=2 -DGENERATIONS=4
run one-host holds -DHOSTS=2 -DFIRST=1 -DGENERATIONS=5
run settle holds -DSETTLE -DGENERATIONS=9 -DFAULTS=2
run settle-two-hosts holds -DSETTLE -DFIRST=2 -DGENERATIONS=9 -DFAULTS=2
run settle-no-rounds refuted -DSETTLE -DROUNDS=0 -DGENERATIONS=9 -DFAULTS=2
run broken-reaffirm refuted -DSETTLE -DBROKEN_REAFFIRM -DGENERATIONS=9 -DFAULTS=2
run broken-promise refuted -DBROKEN_PROMISE -DGENERATIONS=4
run broken-adoption refuted -DBROKEN_ADOPTION -DGENERATIONS=4
run broken-seen refuted -DBROKEN_SEEN -DGENERATIONS=5
run broken-margin refuted -DBROKEN_MARGIN -DGENERATIONS=4
if [ "${LONG:-}" = 1 ]; then
	run long-generations holds -DGENERATIONS=5
	run long-term holds -DTERM=2 -DGENERATIONS=4
fi
if [ "$failed" = 1 ]; then
	echo "model check failed"
	exit 1
fi
echo "model check passed"
