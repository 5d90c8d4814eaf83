#!/usr/bin/env bash
# Plays a scenario: play.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. The status counts only if the scenario has recorded it at its end.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
record="$2/record.txt"
rm -f "$record"
[ -f "review/standin-3/target/$1.class" ] || exit 2
[ -f platform/target/skylarkstack-platform-0.1.0-SNAPSHOT-all.jar ] || exit 2
java -Xmx256m -cp review/standin-3/target "$1" "$record"
status=$?
grep -q "  exit status $status\$" "$record" || exit 2
exit "$status"
