#!/usr/bin/env bash
# Builds what the scripts of cases 4 to 6 start. Their stand-ins are plain modules for Node.js, so they are only checked.
set -e
cd "$(dirname "$0")"
for file in common-2/*.mjs [456]/*.mjs; do
	node --check "$file"
done
