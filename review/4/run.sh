#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/4/play.py
