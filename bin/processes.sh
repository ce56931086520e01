# Starts the project's programs in the background for demo and measurements, and stops them by id; sourced.

PIDS=()

# start_java LOGFILE MAXHEAP CLASS ARGS...: starts a program and adds its id to PIDS; LAST_PID is that id.
start_java() {
  local log=$1 heap=$2
  shift 2
  "$JAVA_HOME/bin/java" "${JAVA_OPTIONS[@]}" "-Xmx$heap" -cp "$LIB/*" "$@" >"$log" 2>&1 &
  LAST_PID=$!
  PIDS+=("$LAST_PID")
}

# stop_all: asks every started program to stop and waits for it.
stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${PIDS[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  PIDS=()
}
