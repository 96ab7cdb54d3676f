#!/usr/bin/env bash
# Checks that names of the platform's interface occur only in platform/, deploy/, docs/ and journal/; other code uses the product's terms.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Attempt-Id|Instance-Signature|Prefix-Hash|Expect-Instance|Expect-Version|Not-Executed|Token-Usage|Instances\.Heartbeat|Instances\.Deregister|Config\.Replace|Config\.Read|Evacuations\.Begin|Evacuations\.Finish|heartbeat_url|cold_left_ms|slo_ms|RATTANSPRING_SETTINGS'
if git grep -nE "$names" -- . ':!platform' ':!deploy' ':!docs' ':!journal' ':!KNOWN-RED.txt' ':!scripts/check-platform-names.sh'; then
	echo 'platform names: found outside platform/ (above)'
	exit 1
fi
echo 'platform names: none outside platform/'
