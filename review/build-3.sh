#!/usr/bin/env bash
# Compiles the stand-ins and the scripts of the cases 11 to 15, with the JDK alone, into review/target-3/target.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
out=target-3/target
rm -rf "$out"
mkdir -p "$out"
javac --release 17 -Xlint:all -d "$out" 11/standin/*.java $(find 1[1-5] -maxdepth 1 -name '*.java')
