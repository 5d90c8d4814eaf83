#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
jar=$(ls platform/target/*-all.jar) || exit 2
timeout -k 5 110 java -Xmx256m -cp "review/target:$jar" org.skylarkstack.platform.StreamCutByStop review/5
case $? in
	0) exit 0 ;;
	10) exit 1 ;;
	*) exit 2 ;;
esac
