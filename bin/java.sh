# Builds the distribution when it is missing or stale and defines run_java; sourced by the other scripts.

. "$(dirname "${BASH_SOURCE[0]}")/jdk.sh"
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
LIB=$ROOT/lycheetray-dist/target/lib

is_stale() {
  [ -d "$LIB" ] || return 0
  [ -n "$(find "$ROOT" -path '*/target' -prune -o \( -path '*/src/main/*' -o -name pom.xml \) -type f -newer "$LIB" -print -quit)" ]
}

build_if_stale() {
  is_stale || return 0
  echo "building lycheetray (first run or changed sources)" >&2
  (cd "$ROOT" && mvn --batch-mode --no-transfer-progress --quiet package -DskipTests) >&2
  touch "$LIB"
}

JAVA_OPTIONS=(-XX:-UsePerfData -XX:+UseSerialGC -XX:TieredStopAtLevel=4
  --enable-native-access=ALL-UNNAMED --sun-misc-unsafe-memory-access=allow)

run_java() {
  "$JAVA_HOME/bin/java" "${JAVA_OPTIONS[@]}" -cp "$LIB/*" "$@"
}
