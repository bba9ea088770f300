#!/bin/sh
# Puts the declared libraries and the packages of the daemon into target/deps.
# The libraries are installed again only when their versions change.
set -eu
deps=target/deps
stamp=target/libraries.txt
mkdir -p "$deps"
if ! cmp -s constraints.txt "$stamp"; then
    sed -n 's/^    "\([a-zA-Z][a-zA-Z_-]*\)",$/\1/p' \
        packages/kumquatchuted/pyproject.toml |
        grep -v '^kumquatchute' >target/requirements.txt
    python3 -m pip install --quiet --upgrade --target "$deps" \
        -c constraints.txt -r target/requirements.txt
    cp constraints.txt "$stamp"
fi
rm -rf "$deps/kumquatchute_model" "$deps/kumquatchuted"
cp -R packages/kumquatchute-model/src/kumquatchute_model "$deps/"
cp -R packages/kumquatchuted/src/kumquatchuted "$deps/"
find "$deps/kumquatchute_model" "$deps/kumquatchuted" \
    -name tests -prune -exec rm -rf {} +
python3 -m compileall -q "$deps"
