#!/bin/sh
# Builds the programs of the cases 4 to 6, each with its stand-ins, into target/.
set -eu
cd "$(dirname "$0")/.."
for case in review/[4-6]; do
	go build -o "target/$case" "./$case"
done
