#!/usr/bin/env bash
# Builds the project's own stand-ins, which the scripts start beside the boxes, into dist/.
set -eu
cd "$(dirname "$0")/.."
[ node_modules -nt package-lock.json ] || npm ci --silent
npx tsc -p .
