#!/usr/bin/env bash
# Case 8: a batch job whose route a new configuration replaces is never finished. TROUBLE=0 keeps the route.
set -u
cd "$(dirname "$0")/../.."
[ -x target/review-2/review ] && [ -x target/wagtailwharfd ] || exit 2
exec target/review-2/review removed-route review/8/record.txt
