#!/bin/sh
# Builds the second stand-in and its judge with the plain JDK.
cd "$(dirname "$0")" && rm -rf target && mkdir -p target && javac -Xlint:all -Werror --release 17 -d target src/second/*.java
