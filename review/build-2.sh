#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. Run it after the build line of deploy/service.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/standin2
