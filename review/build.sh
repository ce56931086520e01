#!/usr/bin/env bash
# Builds the stand-ins and the cases that are scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/jdk.sh
rm -rf review/target
mkdir -p review/target/classes
"$JAVA_HOME/bin/javac" -d review/target/classes review/standins/review/*.java
