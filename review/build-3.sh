#!/bin/bash
# Builds what the scripts of the third review start beside the relay: stand-ins in Python, of its
# standard library only. Nothing is written into the repository.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
for path in sorted([*pathlib.Path(".").glob("harness-3/*.py"), *pathlib.Path(".").glob("1[1-5]/*.py")]):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
