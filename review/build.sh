#!/usr/bin/env bash
# The stand-ins need Python's own library only: checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile stand_ins.py [0-9]*/case.py
