#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, and those of the soak that they use; needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/jdk.sh
rm -rf target/review-2
mkdir -p target/review-2
find platform/soak/src/main/java review/standins-2 -name '*.java' -print0 |
  xargs -0 "$JAVA_HOME/bin/javac" -nowarn -d target/review-2 -cp "target/lib/*"
