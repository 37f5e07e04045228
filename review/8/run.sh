#!/usr/bin/env bash
# Searchers run requests that may run once, and fail part of them with their own 503.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [[ ! -x target/wharf-gateway || ! -x target/review-2/stand-in ]]; then
	echo "build with the build line of deploy/system.toml and review/build-2.sh first" >&2
	exit 2
fi
exec target/review-2/stand-in failed-run review/8/record.txt
