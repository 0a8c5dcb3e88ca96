#!/usr/bin/env bash
# Builds the stand-ins and the cases 12 to 14 of the third review. The nodes are built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -Xlint:all -d target/review-3 review/rig-12/src/*.java
