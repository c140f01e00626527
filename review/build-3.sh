#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python modules of this
# folder that use the standard library only, so there is only their syntax to
# check. The routers are built by the build line of deploy/system.toml.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'PYTHON'
import pathlib

for path in [
    pathlib.Path("deployment_3.py"),
    *sorted(pathlib.Path().glob("1[1-5]/*.py")),
]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("built", path)
PYTHON
