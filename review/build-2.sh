#!/bin/sh
# Builds what the cases of the second review start besides the daemons of the deploy file's build: their
# stand-ins, which are one Python module and need no build but a check that the interpreter reads them.
set -eu
cd "$(dirname "$0")"
for file in standins-2/deployment.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
python3 -c 'import asyncio, sys; sys.exit(sys.version_info < (3, 8))'
