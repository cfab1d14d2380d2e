#!/bin/sh
# Builds the stand-ins of all cases, each with the checks of its case, into target/.
set -eu
cd "$(dirname "$0")/.."
for case in review/[0-9]; do
	go build -o "target/$case" "./$case"
done
