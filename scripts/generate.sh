#!/usr/bin/env bash
# Regenerates the committed code from the Cap'n Proto schema.
set -euo pipefail
cd "$(dirname "$0")/../packages/wire"
capnp compile -oc++:generated peer.capnp
