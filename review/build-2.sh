#!/usr/bin/env bash
# Builds what the scripts 6 to 9 start: the hosts and the project's stand-in of the store. Servers and clients of the scripts need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent --no-audit --no-fund
node deploy/bundle.mjs
