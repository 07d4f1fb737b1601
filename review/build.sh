#!/bin/sh
# Builds the stand-ins and clients that the scripts start, into target/review. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
for source in review/*/case.jsx; do
    number="$(basename "$(dirname "$source")")"
    node_modules/.bin/esbuild "$source" --bundle --platform=node --target=node20 --format=cjs --log-level=warning \
        --outfile="target/review/case$number.cjs"
done
