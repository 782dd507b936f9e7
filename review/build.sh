#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/target. Needs the jar that the build line of
# deploy/service.toml makes, for its JSON library alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes
javac --release 17 -encoding UTF-8 -cp ../target/springmill.jar -d target/classes standins/*.java
