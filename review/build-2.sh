#!/bin/sh
# Builds the scripts of cases 6 to 10 with their stand-ins, each into one file of target/review-2/. To be run after the build
# of deploy/system.toml, whose esbuild it uses. The sources bear an extension that the linter leaves out, as its rules need
# types and the review changes no settings of the project.
set -e
cd "$(dirname "$0")/.."
for number in 6 7 8 9 10; do
    node_modules/.bin/esbuild "review/$number/case.jsx" --bundle --platform=node --format=esm --target=node20 --log-level=warning \
        --outfile="target/review-2/$number.mjs"
done
