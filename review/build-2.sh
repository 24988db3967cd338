#!/bin/sh
# Builds every stand-in that the scripts of the second review start: they are plain Python without
# dependencies, so this compiles them once, below target/, and imports each of them.
set -e
cd "$(dirname "$0")/.."
export PYTHONPYCACHEPREFIX=target/review-2
python3 -m compileall -q review/parts2 review/[4-8]
PYTHONPATH=. python3 -c 'import review.parts2.case, review.parts2.fleet, review.parts2.target'
