#!/bin/sh
# Builds what the scripts of the second review start beside the programs of the deploy file: one program with the
# stand-ins of all cases. The programs of the deploy file are built by its own command.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2 ./review/standin-2
