#!/usr/bin/env bash
# Builds the stand-ins of the cases with the classes that the build of the deploy file has left.
set -eu
cd "$(dirname "$0")/.."
jar=$(ls platform/target/*-all.jar)
rm -rf review/target
mkdir -p review/target
# Only annotations are missing from the class path; they are not needed to compile.
javac -nowarn -proc:none -d review/target -cp "$jar" \
  platform/src/test/java/org/skylarkstack/platform/StoreStandIn.java review/standin/*.java
cp -r review/standin/wire review/target/wire
echo "review: built"
