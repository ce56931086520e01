#!/usr/bin/env bash
# Runs one case: run.sh CLASS FOLDER; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
. bin/jdk.sh || exit 2
if [ ! -f "target/review-2/org/lycheetray/review/$1.class" ] || [ ! -f target/classpath.args ]; then
  echo "not built: run the build of the deploy file and review/build-2.sh" >&2
  exit 2
fi
timeout -k 3 112 "$JAVA_HOME/bin/java" -Xmx1g -Dlycheetray.root="$PWD" -cp "target/review-2:target/lib/*" \
  "org.lycheetray.review.$1" "$2/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
