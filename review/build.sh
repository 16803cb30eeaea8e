#!/bin/bash
# The stand-ins of review/standins are scripts of Python's standard library (3.11 or later): nothing is compiled, but
# what a script needs is looked at before. The programs themselves come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for script in review/standins/*.py review/[1-5]/*.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script"
done
test -x target/bin/node || { echo "review/build.sh: run the build of deploy/system.toml first" >&2; exit 2; }
