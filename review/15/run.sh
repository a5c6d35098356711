#!/usr/bin/env bash
# Plays the case; exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
if [[ ! -f "$root/target/review-3/UnnamedService.class" || ! -d "$root/target/platform" ]]; then
  echo "build the deploy file and run review/build-3.sh first" >&2
  exit 2
fi
timeout --kill-after=2 115 java -Xmx128m -cp "$root/target/review-3" UnnamedService "$root" "$folder"
status=$?
[[ $status -eq 0 || $status -eq 1 ]] || status=2
exit "$status"
