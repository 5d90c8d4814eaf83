#!/usr/bin/env bash
# Ten clients read streams, slowly at first, while a version lowers the idle limit to 4 s. TROUBLE=0: no new version.
cd "$(dirname "$0")/../.." || exit 2
command -v python3 > /dev/null || exit 2
exec timeout -k 5 110 java -Xmx512m -cp review/standin-2/target IdleLimit review/6 10 1500 4000
