#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
dir=$(cd "$(dirname "$0")" && pwd)
cd "$dir/../.." || exit 2
[ -x review/standin-3/bin/standin-3 ] && [ -x target/parsleyramp-gateway ] && [ -x target/parsleyramp-fleet ] || exit 2
exec timeout -k 2 115 review/standin-3/bin/standin-3 second-loss "$dir/record.txt"
