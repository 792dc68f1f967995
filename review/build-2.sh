#!/bin/sh
# Builds what the scripts of cases 6 and up start. The program itself comes from `build` in deploy/balancer.toml. The
# stand-ins are Python modules of the review and need no build; that each can be read is checked here, before a case runs.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c '
import ast, glob
for path in sorted(glob.glob("common-[23]/*.py") + glob.glob("[0-9]*/case.py")):
    ast.parse(open(path, encoding="utf-8").read(), path)
'
