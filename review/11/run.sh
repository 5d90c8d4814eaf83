#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -d review/standin-3/target ] && [ -f platform/target/skylarkstack-platform-0.1.0-SNAPSHOT-all.jar ] || exit 2
exec java -Xmx256m -cp review/standin-3/target TenantNames review/11/record.txt
