#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Writes record.txt beside this file.
command -v python3 >/dev/null || exit 2
python3 -c "import tomllib" 2>/dev/null || exit 2
exec python3 "$(dirname "$0")/case.py"
