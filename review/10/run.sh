#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. What was sent,
# answered and run stands in record.txt beside this script. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec python3 -B case.py
