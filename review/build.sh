#!/bin/sh
# Prepares what the scripts start beside the daemon. The stand-ins are one Python file without dependencies
# (review/standins/mesh.py), so there is nothing to compile; this checks that it can run here.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
python3 -m py_compile standins/mesh.py */case.py
echo "stand-ins are ready"
