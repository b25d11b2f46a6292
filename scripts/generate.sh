#!/usr/bin/env bash
# Regenerates the committed code from the Cap'n Proto schemas.
set -euo pipefail
cd "$(dirname "$0")/../packages"
(cd wire && capnp compile -oc++:generated peer.capnp)
(cd proxy && capnp compile -oc++:generated link.capnp)
