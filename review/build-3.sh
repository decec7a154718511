#!/bin/sh
# Builds the stand-ins of cases 11 to 15: Python modules of the standard library
# only, which the scripts start in their own process. Compiling shows errors.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for folder in kit-3 1[1-5]; do
    if [ -d "$folder" ]; then
        python3 -m compileall -q "$folder"
    fi
done
