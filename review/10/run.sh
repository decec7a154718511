#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if it could not run.
set -u
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
