#!/bin/sh
# Builds the stand-ins of the cases of REPORT-2.md. They are Python programs (review/common-2) of the standard library alone, so there
# is nothing to compile; this checks that the interpreter reads them. The nodes come from `build` of deploy/balancer.toml.
cd "$(dirname "$0")" || exit 1
for file in common-2/*.py 6/*.py 7/case.py 8/case.py 9/case.py 10/case.py; do
	[ -f "$file" ] || continue
	python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
