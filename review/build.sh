#!/bin/sh
# Builds the stand-ins of the review's cases. They are Python programs (python3 is a tool of this repository's own build), so
# there is nothing to compile. The script checks that they can be read by this machine's python3.
cd "$(dirname "$0")" || exit 2
for file in lib/*.py [0-9]/*.py; do
	python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 2
done
