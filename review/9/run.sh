#!/usr/bin/env bash
# A version raises maxHeaderBytes while 20 clients keep their channels. TROUBLE=0: the higher limit from the start.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 110 java -Xmx512m -cp review/standin-2/target HeaderLimit review/9
