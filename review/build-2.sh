#!/bin/bash
# The stand-ins of review/standins-2 are scripts of Python's standard library (3.11 or later): nothing is compiled, but
# what a script needs is looked at before. The programs themselves come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B -c 'import sys; assert sys.version_info >= (3, 11)'
for script in review/standins-2/*.py review/{6,7,8,9,10}/*.py; do
  if [ -e "$script" ]; then python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script"; fi
done
test -x target/bin/node || { echo "review/build-2.sh: run the build of deploy/system.toml first" >&2; exit 2; }
