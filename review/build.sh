#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python, without packages of others, and live
# in the process of the script; the programs themselves come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
python3 -B - review/lib/*.py review/[0-9]/case.py <<'P'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as f:
        compile(f.read(), path, "exec")
print("stand-ins: %d files are sound" % (len(sys.argv) - 1))
P
