#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out; anything else, or nothing, plays it.
here=$(dirname "$0")
export TROUBLE="${TROUBLE:-1}"
exec bash "$here/../run-case.sh" lost "$here"
