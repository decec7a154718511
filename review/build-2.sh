#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the product: the
# stand-ins, which need Python 3.11 and its standard library only.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
python3 -m compileall -q kit-2
