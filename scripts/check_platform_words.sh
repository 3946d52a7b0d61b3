#!/usr/bin/env bash
# Fails if a name of the platform's protocols is used outside platform/, which translates them.
# Tests outside tests/core and tests/servers may use them too, since their fakes imitate the platform.
set -euo pipefail
names='X-Attempt-Id|X-Deadline-Ms|X-Target-Instance|X-Tenant|X-Token-Counts|X-Prompt-Prefix'
names+='|X-Length-Hint|X-Urgency-Class|X-Not-Executed|X-Fencing-Token|X-Duty-Holder|X-Model'
names+='|Store-Era|Server-Limit|Server-Leaving|Kv-From|Kv-Fetch|kv-move|log-read|log-append|log-newest|TrafficSplit|PathPrefix|RouteKind'
names+='|GapGoalMs|GoalMs|KvCapacity|ApiKeys|RatePerS|ColdLeftMs|HeartbeatMs|DrainMs|WindowId'
if git ls-files -co --exclude-standard core servers drivers main tests/core tests/servers \
  | xargs grep -nE "$names"; then
  echo "platform words: the names above may only be used in platform/"
  exit 1
fi
echo "platform words: clean"
