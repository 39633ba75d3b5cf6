#!/usr/bin/env bash
# Builds the stand-ins and programs of the cases 1 to 10 and of the project's own cases, with the JDK alone, into review/target.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p target/classes
find standin [1-9] 10 own-[0-9]* -name '*.java' 2>/dev/null | sort >target/sources.txt || true
javac -Xlint:all -d target/classes @target/sources.txt
