#!/usr/bin/env bash
# Fails if a name that belongs to the platform's wire is used outside the folders that translate it.
# The tests' stand-ins speak the platform's side of the wire.
set -euo pipefail
names='X-Attempt-Id|X-Deadline-Ms|X-Target-Instance|X-Tenant|X-Token-Counts|X-Prompt-Prefix'
names+='|X-Length-Hint|X-Urgency-Class|X-Not-Executed|X-Fencing-Token|X-Duty-Holder|X-Model'
names+='|Kv-From|Kv-Fetch|kv-move|log-read|log-append|log-newest|TrafficSplit|PathPrefix|RouteKind'
names+='|GapGoalMs|GoalMs|KvCapacity|ApiKeys|RatePerS|ColdLeftMs|HeartbeatMs|DrainMs|WindowId'
if git ls-files -co --exclude-standard core servers drivers main tests/core tests/servers \
  | xargs grep -nE "$names"; then
  echo "platform words: names above belong in platform/"
  exit 1
fi
echo "platform words: clean"
