#!/bin/sh
# Compiles the stand-ins that the scripts start; they need the standard library only.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review
