#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 plays it without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/review-2" ] || { echo "run review/build-2.sh first"; exit 2; }
exec "$root/target/review-2" -case successors -bin "$root/target" -record "$here/record.txt"
