#!/bin/sh
# Builds the stand-ins of the scripts: plain Python, so only the byte code is made.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review
