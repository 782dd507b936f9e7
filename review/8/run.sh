#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/Case8.class ] && [ -f target/springmill.jar ] || exit 2
exec java -Xmx512m -XX:+UseSerialGC -cp target/review-2:target/springmill.jar Case8 review/8
