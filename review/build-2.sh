#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and later.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p target
javac -d target ./*.java
