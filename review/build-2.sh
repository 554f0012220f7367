#!/bin/sh
# Builds the stand-ins of the scripts review/6 to review/10: they are Python and
# need only the standard library.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile fleet.py engines.py
for case in 6 7 8 9 10; do
    if [ -f "$case/case.py" ]; then
        python3 -m py_compile "$case/case.py"
    fi
done
