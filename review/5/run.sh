#!/usr/bin/env bash
# Exit status 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves out the disruption.
exec node "$(dirname "$0")/script.mjs"
