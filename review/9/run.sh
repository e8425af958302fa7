#!/bin/sh
# See claim.txt. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-2/standins-2 ] || exit 2
exec target/review-2/standins-2 crash-series "$here"
