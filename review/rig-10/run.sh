#!/bin/sh
# run.sh [PHASE...]; a phase is seed:seconds:forms:rate:faults[:machine], or the word selftest.
# 0: all rules held, 1: a rule was broken, 2: nothing could be judged.
here="$(cd "$(dirname "$0")" && pwd)"
sh "$here/build.sh" || exit 2
root="${ROOT:-$here/../..}"
[ $# -gt 0 ] || set -- 1:30:PLAIN:0:- 2:30:ALL:0.1:- 3:40:ALL:0.1:kill,term,stop,manifest
exec java -Xmx1500m -Dclients="${CLIENTS:-5}" -Dcases="${CASES:-2}" -Dsig="${SIG:-opaque}" -cp "$here/target" second.Rig "$root" "$@"
