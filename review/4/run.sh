#!/bin/sh
# Runs the case; see claim.txt. review/build-2.sh and the build of the deploy file come before.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/4
