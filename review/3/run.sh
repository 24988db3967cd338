#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. What was sent, answered and run stands in record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -m review.3.play
