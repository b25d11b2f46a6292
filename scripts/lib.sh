# Sourced by the other scripts of this directory: installs packages, builds, and
# starts and stops processes. VF_BUILD names another build directory. Arguments
# of the source command are ignored.

ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
BUILD="${VF_BUILD:-$ROOT/build}"
PIDS=()

PACKAGES=(g++ cmake ninja-build ccache curl libmicrohttpd-dev
  libcurl4-openssl-dev libcapnp-dev libtomlplusplus-dev libtclap-dev
  libboost-log-dev libboost-dev nlohmann-json3-dev libxxhash-dev catch2
  spin)

# Installs the packages that are missing.
install_packages() {
  local missing=()
  local package
  for package in "${PACKAGES[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
  done
  if [ "${#missing[@]}" -gt 0 ]; then
    echo "installing ${missing[*]}"
    apt-get update -qq >/dev/null
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
      --no-install-recommends "${missing[@]}" >/dev/null
  fi
}

# Builds everything into $BUILD.
build() {
  cmake -S "$ROOT" -B "$BUILD" -G Ninja "$@" >"$BUILD.configure.log" 2>&1 ||
    { cat "$BUILD.configure.log"; return 1; }
  ninja -C "$BUILD" --quiet
}

# Starts a process in the background for stop_all to end. Sets LAST_PID.
start() {
  "$@" &
  LAST_PID=$!
  PIDS+=("$LAST_PID")
}

# Ends every process that was started by start and waits for it. Paused
# processes are resumed first, so that they can handle the signal.
stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill "$pid" 2>/dev/null
  done
  for pid in "${PIDS[@]}"; do
    wait "$pid" 2>/dev/null
  done
  PIDS=()
}

# Retries the command $2... every 0.1 s until it succeeds. Fails after about $1
# seconds.
wait_for() {
  local seconds=$1
  shift
  local tries=$((seconds * 10))
  while [ "$tries" -gt 0 ]; do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
    tries=$((tries - 1))
  done
  return 1
}
