#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
exec node "$(dirname "$0")/case.mjs"
