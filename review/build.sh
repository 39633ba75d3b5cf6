#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases, with the JDK alone, into review/target.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p target/classes
find standin [1-9] -name '*.java' 2>/dev/null | sort >target/sources.txt || true
javac -Xlint:all -d target/classes @target/sources.txt
