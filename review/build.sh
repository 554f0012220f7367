#!/bin/sh
# The stand-ins are Python files that use the standard library alone.
cd "$(dirname "$0")" || exit 2
python3 -m compileall -q .
