#!/usr/bin/env bash
# Starts a local cluster, queries its agent with Python's grpcio and the published Envoy types, and stops the cluster. If
# Python or the packages are not available, the script reports that and passes: Rust tests cover the same service.
set -euo pipefail
cd "$(dirname "$0")/../.."
programs=${1:-target/release}
work=$(mktemp -d)
trap 'kill "${town:-}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$work"' EXIT
if ! python3 -m venv "$work/venv" >"$work/log" 2>&1 ||
  ! "$work/venv/bin/pip" install -q -r tests/interop/requirements.txt >>"$work/log" 2>&1; then
  echo "interop: not run, there is no Python with grpcio and xds-protos here: $(tail -1 "$work/log")"
  exit 0
fi
"$programs/frostctl" dev --ready-file "$work/ready.json" >"$work/town" & town=$!
for _ in $(seq 300); do [ -e "$work/ready.json" ] && break; sleep 0.1; done
rls=$(python3 -c 'import json,sys; print(json.load(open(sys.argv[1]))["agent"]["rls"])' "$work/ready.json")
"$work/venv/bin/python" tests/interop/should_rate_limit.py "$rls"
