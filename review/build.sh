#!/bin/sh
# Builds the stand-ins of the scripts. Needs the JDK only.
set -e
cd "$(dirname "$0")"
rm -rf target/classes
mkdir -p target/classes
javac -Xlint:all -d target/classes standins/src/review/*.java
