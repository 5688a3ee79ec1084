#!/usr/bin/env bash
# Plays the case once, for 90 seconds. TROUBLE=0 leaves out the disruption; SEED repeats its random choices.
set -u
cd "$(dirname "$0")/../.."
exec node review/1/script.mjs
