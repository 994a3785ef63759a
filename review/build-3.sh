#!/bin/bash
# Builds what the scripts of cases 11 to 15 start beside the hosts. Their stand-ins are plain JavaScript in review/common-3 and need no
# build; this checks that they can be read, and that the build of the deploy file has left the host's program.
set -e
cd "$(dirname "$0")/.."
for file in review/common-3/*.mjs review/1[1-5]/*.mjs; do
    node --check "$file"
done
test -f target/hornbeam-host.cjs
