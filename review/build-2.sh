#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python and need no package, so this
# checks that all of them, and the cases, compile; nothing is written.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path("standins2").glob("*.py")) + [
    path for number in range(6, 11) for path in pathlib.Path(str(number)).glob("*.py")
]:
    compile(path.read_text(), str(path), "exec")
    print("compiles:", path)
CHECK
