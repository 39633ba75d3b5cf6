#!/usr/bin/env bash
# Runs the case; claim.txt names its settings. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
if [ ! -f ../target/classes/OneHostStops.class ] || [ ! -f ../../target/cranberrygauge-platform.jsa ]; then
    echo "not built: run bin/build-platform and review/build.sh" >&2
    exit 2
fi
exec java -Xmx256m -cp ../target/classes OneHostStops .
