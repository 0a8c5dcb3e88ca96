#!/bin/sh
# Exits with 1 if a rule was broken, 0 if all held, and 2 if the case could not run. TROUBLE=0 leaves out the second answers and the disruptions.
# SEED, DURATION_S (58; one burst if 46 or less), CLIENTS (2 on each machine), THINK_MS (250), BURST (16 disruptions), WAYS (constants of Disruption joined by commas; all),
# LONG_PERCENT (15) of runs with calls of their own take 0.3 to 2.5 s, STUTTER_PERCENT (4) and STUTTER_FAILED_PERCENT (50) of successes and of failures are answered twice,
# MACHINES (14; services in the same proportions), NOISE=1 (work takes up to four times as long, another time every 50 to 300 ms), WAYS=NONE and BURST=0 (no disruption),
# REFUSED_PERCENT (0) of requests are refused although there is room, SECOND_ANSWERS=SAME (a second answer is the first once more),
# SHAPES (constants of StutteringService.Shape joined by commas; a mix of AT_ONCE, LATER, NEXT and AGAIN), TIMEOUT_MS (8000), IMPATIENT_PERCENT (0) of requests are left by their client after 1 to 400 ms, REFUSAL (503; status of the requests that REFUSED_PERCENT refuses),
# BODY_BYTES (200) of a POST, IDS=SIMILAR (ids that differ in case or length only),
# NESTED_IDS=SAME (a repeated run makes its calls under the ids of the first), REPEATS=1 (clients send a request that failed once more under its id),
# ROOT (checkout whose build the nodes run), ROOT_OLD (checkout of every second node), RECORD (folder of the record), TMPDIR, KEEP_LOGS=1.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
exec java -Xmx1g -XX:TieredStopAtLevel=1 "-Djava.io.tmpdir=${TMPDIR:-/tmp}" -cp "$root/review/target/classes" review.NestedCalls "${ROOT:-$root}" "${RECORD:-$folder}"
