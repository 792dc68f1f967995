#!/bin/sh
# Builds the stand-ins of the cases: Python files, which need Python 3.11 and its standard library only.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile common/standins.py */case.py
