#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 110 java -Xmx256m -cp "review/target:$(ls platform/target/*-all.jar)" org.skylarkstack.platform.PlainStreamBrokenOff review/2
