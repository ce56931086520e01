# Sets JAVA_HOME to a JDK of at least version 25; sourced by the other scripts.

REQUIRED_JAVA=25

java_version() {
  "$1/bin/javac" -version 2>/dev/null | sed -n 's/^javac \([0-9]*\).*/\1/p'
}

find_jdk() {
  local home version
  for home in "${JAVA_HOME:-}" /usr/lib/jvm/*; do
    [ -x "$home/bin/javac" ] || continue
    version=$(java_version "$home")
    if [ "${version:-0}" -ge "$REQUIRED_JAVA" ]; then
      printf '%s\n' "$home"
      return 0
    fi
  done
  return 1
}

if ! JAVA_HOME=$(find_jdk); then
  echo "lycheetray needs a JDK of version $REQUIRED_JAVA or newer; none was found in JAVA_HOME or /usr/lib/jvm" >&2
  exit 3
fi
export JAVA_HOME
