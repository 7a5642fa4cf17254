#!/bin/bash
# Builds the stand-ins of the review into review/target. Needs a JDK and the jar of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target
javac -nowarn -cp target/hornbeam-router.jar -d review/target review/standins/*.java
