#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -f review/build-2/Case10.class ] && [ -f target/cairnline.jar ] || { echo "build first: deploy file, review/build-2.sh"; exit 2; }
exec java -Xmx256m -cp review/build-2 Case10
