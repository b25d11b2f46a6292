# Starts the sample fleet on loopback: the platform stand-in, seven daemons in
# seven data centres, and the sample services' backend servers.

DATA_CENTRES=(hervanta nekala kauppi quezon makati laguna batangas)
REGIONS=(pirkanmaa pirkanmaa pirkanmaa luzon luzon luzon luzon)
PLATFORM=127.0.0.1:18000
declare -A BACKEND_PID DAEMON_PID

caller_of() { echo "127.0.0.1:$((18000 + $1))"; }
peer_of() { echo "127.0.0.1:$((18100 + $1))"; }
operator_of() { echo "127.0.0.1:$((18200 + $1))"; }

# Writes the settings of daemon number $1 and prints the file's name.
write_settings() {
  local file="$WORK/daemon-$1.toml"
  cat >"$file" <<END
instance = "i-$1"
data_centre = "${DATA_CENTRES[$(($1 - 1))]}"
region = "${REGIONS[$(($1 - 1))]}"
caller_address = "$(caller_of "$1")"
peer_address = "$(peer_of "$1")"
operator_address = "$(operator_of "$1")"
platform_address = "$PLATFORM"
seeds = ["$(peer_of 1)", "$(peer_of 4)"]

[limits]
drain_timeout = "10s"
END
  echo "$file"
}

start_daemon() {
  local settings
  settings=$(write_settings "$1")
  start "$BUILD/bin/vanillafalld" "$settings" 2>>"$WORK/daemon-$1.log"
  DAEMON_PID[$1]=$LAST
}

start_backend() {
  start "$BUILD/standins/backend_standin" --name "$1" --address "$2" \
    --history "$WORK/history-$1" --work-ms 3
  BACKEND_PID[$1]=$LAST
}

# Prints "name address" for each backend server of the samples.
list_backends() {
  awk -F'"' '/^name/ {name = $2} /^address/ {print name, $2}' \
    "$ROOT"/samples/*.toml
}

# Publishes the documents of a directory, the manifest last.
publish() {
  local file
  for file in "$1"/service-*.json "$1"/manifest.json; do
    curl -sf -X PUT --data-binary "@$file" \
      "http://$PLATFORM/v1/values/$(basename "$file" .json)" >/dev/null
  done
}

manifest_number() {
  curl -sf "http://$(operator_of "$1")/config" |
    sed -n 's/.*"manifest_number": \([0-9]*\).*/\1/p'
}

has_manifest() { [ "$(manifest_number "$1")" = "$2" ]; }

start_fleet() {
  local i name address
  start "$BUILD/standins/platform_standin" --address "$PLATFORM"
  while read -r name address; do
    start_backend "$name" "$address"
  done < <(list_backends)
  for i in 1 2 3 4 5 6 7; do
    start_daemon "$i"
  done
  wait_for 5 curl -sf "http://$PLATFORM/admin/calls"
  "$BUILD/bin/vanillafall" bundle "$ROOT/samples" --out "$WORK/documents"
  publish "$WORK/documents"
  for i in 1 2 3 4 5 6 7; do
    wait_for 10 has_manifest "$i" 1 || { echo "daemon $i has no configuration"; return 1; }
  done
}
