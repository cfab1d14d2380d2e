#!/bin/sh
# Builds the programs of the cases 4 to 7, each with its stand-ins, into target/.
set -eu
cd "$(dirname "$0")/.."
for case in review/[4-7]; do
	go build -o "target/$case" "./$case"
done
