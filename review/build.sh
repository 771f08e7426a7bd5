#!/bin/sh
# Builds the stand-ins of the review's scripts. The programs of the mesh come from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in 1 2 3; do
	go build -o "target/review/case$case" "./review/$case"
done
