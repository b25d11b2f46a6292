# Starts the sample fleet on loopback: the platform stand-in, seven daemons in
# seven data centres, and the sample services' backend servers.
#
# A script may set these variables before it sources this file:
#   PORTS          first of the thousand ports to use (default 18000)
#   SERVICE_FILES  directory of the service files (default samples)
#   RELAYED        yes: connections between daemons pass through the relay
#                  stand-in (default no)
#   MORE_LIMITS    lines for [limits] in each daemon's settings (default
#                  drain_timeout = "10s")
#   BACKEND_FLAGS  array of additional arguments for each backend server
#                  stand-in (default none)

PORTS="${PORTS:-18000}"
SERVICE_FILES="${SERVICE_FILES:-$ROOT/samples}"
RELAYED="${RELAYED:-no}"
MORE_LIMITS="${MORE_LIMITS:-drain_timeout = \"10s\"}"
[ -n "${BACKEND_FLAGS+set}" ] || BACKEND_FLAGS=()

DATA_CENTRES=(hervanta nekala kauppi quezon makati laguna batangas)
REGIONS=(pirkanmaa pirkanmaa pirkanmaa luzon luzon luzon luzon)
DAEMONS=(1 2 3 4 5 6 7)
PLATFORM=127.0.0.1:$PORTS
RELAY_ADMIN=127.0.0.1:$((PORTS + 90))
declare -A BACKEND_PID DAEMON_PID

# Addresses of daemon number $1.
caller_address() { echo "127.0.0.1:$((PORTS + $1))"; }
peer_address() { echo "127.0.0.1:$((PORTS + 100 + $1))"; }
operator_address() { echo "127.0.0.1:$((PORTS + 200 + $1))"; }
# Where the daemon listens for peers if the relay listens on its peer address.
peer_listen_address() { echo "127.0.0.1:$((PORTS + 400 + $1))"; }

# Writes the settings of daemon number $1 and prints the file's name.
write_settings() {
  local file="$WORK/daemon-$1.toml"
  cat >"$file" <<END
instance = "i-$1"
data_centre = "${DATA_CENTRES[$(($1 - 1))]}"
region = "${REGIONS[$(($1 - 1))]}"
caller_address = "$(caller_address "$1")"
peer_address = "$(peer_address "$1")"
operator_address = "$(operator_address "$1")"
platform_address = "$PLATFORM"
seeds = ["$(peer_address 1)", "$(peer_address 4)"]
$([ "$RELAYED" = yes ] && echo "peer_listen_address = \"$(peer_listen_address "$1")\"")

[limits]
$MORE_LIMITS
END
  echo "$file"
}

start_daemon() {
  local settings
  settings=$(write_settings "$1")
  start "$BUILD/bin/vanillafalld" "$settings" 2>>"$WORK/daemon-$1.log"
  DAEMON_PID[$1]=$LAST_PID
}

start_backend() {
  start "$BUILD/standins/backend_standin" --name "$1" --address "$2" \
    --history "$WORK/history-$1" --work-ms 3 "${BACKEND_FLAGS[@]}"
  BACKEND_PID[$1]=$LAST_PID
}

start_relay() {
  local routes=()
  local i
  for i in "${DAEMONS[@]}"; do
    routes+=("$(peer_address "$i")=$(peer_listen_address "$i")")
  done
  start "$BUILD/standins/relay_standin" --admin "$RELAY_ADMIN" "${routes[@]}"
}

# Prints "name address" for each backend server of the service files.
list_backends() {
  awk -F'"' '/^name/ {name = $2} /^address/ {print name, $2}' \
    "$SERVICE_FILES"/*.toml
}

# Publishes the documents of directory $1, with the manifest last, so that every
# document that it lists is already there.
publish() {
  local file
  for file in "$1"/service-*.json "$1"/manifest.json; do
    curl -sf -X PUT --data-binary "@$file" \
      "http://$PLATFORM/v1/values/$(basename "$file" .json)" >/dev/null
  done
}

# Prints the number of the manifest that is in force in daemon $1.
manifest_number() {
  curl -sf "http://$(operator_address "$1")/config" -m 2 |
    sed -n 's/.*"manifest_number": \([0-9]*\).*/\1/p'
}

has_manifest() { [ "$(manifest_number "$1")" = "$2" ]; }

# Starts everything, publishes the service files, and waits until every daemon
# has the configuration.
start_fleet() {
  local i name address
  start "$BUILD/standins/platform_standin" --address "$PLATFORM"
  [ "$RELAYED" = yes ] && start_relay
  while read -r name address; do
    start_backend "$name" "$address"
  done < <(list_backends)
  for i in "${DAEMONS[@]}"; do
    start_daemon "$i"
  done
  wait_for 5 curl -sf "http://$PLATFORM/admin/calls"
  "$BUILD/bin/vanillafall" bundle "$SERVICE_FILES" --out "$WORK/documents"
  publish "$WORK/documents"
  for i in "${DAEMONS[@]}"; do
    wait_for 10 has_manifest "$i" 1 || { echo "daemon $i has no configuration"; return 1; }
  done
}
