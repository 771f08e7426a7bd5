#!/bin/sh
# Builds what the scripts of the second review start, besides the programs of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 4 5; do
	go build -o "target/review-2/$case" "./review/$case"
done
