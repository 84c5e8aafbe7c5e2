#!/bin/sh
# Builds what the scripts start: the libraries of the deploy file, and a check that the stand-ins compile. No network is
# needed after the build of the deploy file, which leaves target/deps in place.
cd "$(dirname "$0")/.." || exit 2
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)" || exit 2
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
from pathlib import Path

for file in sorted(Path("review").rglob("*.py")):
    compile(file.read_text(), str(file), "exec")
    print("compiled", file)
PYTHON
