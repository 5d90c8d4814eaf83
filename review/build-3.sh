#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. Needs only the JDK of the build.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/standin-3"
rm -rf target
mkdir -p target
javac -encoding UTF-8 -d target ./*.java
