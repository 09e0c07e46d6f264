#!/bin/bash
# Builds the stand-ins of the cases 11 to 15. The programs under test are built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/standin-3/bin
go build -o review/standin-3/bin/standin-3 ./review/standin-3
