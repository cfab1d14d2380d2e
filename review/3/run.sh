#!/bin/sh
# Runs the case; see claim.txt. Needs the build of deploy/service.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/3
