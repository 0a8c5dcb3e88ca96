#!/bin/sh
# Exits with 1 if a node kept bytes of a peer until others paid for it, 0 if all forms held, and 2 if the case could not run. TROUBLE=0 leaves out the trouble.
# SEED, FORMS (names joined by commas, a name may end with *; all), SECONDS (6) of trouble in each form, ROOT (checkout whose build the nodes run),
# RECORD (folder of the record), TMPDIR, KEEP_LOGS=1.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
exec java -Xmx2g -Xss256k "-Djava.io.tmpdir=${TMPDIR:-/tmp}" -cp "$root/review/target/classes" review.EndlessBytes "${ROOT:-$root}" "${RECORD:-$folder}"
