#!/bin/sh
# Builds the stand-ins of review/4 to review/8 into target/review-2, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -cp target/springmill.jar -d target/review-2 review/standins-2/src/*.java
