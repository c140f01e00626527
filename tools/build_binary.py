"""Builds the one-file program: a zip archive that Python runs.

The archive unpacks itself once into a folder, since extension modules cannot be
loaded from an archive. The folder is /tmp/crowwinch, the only place that the
platform lets a process write to and which it keeps in memory, unless SHIV_ROOT
names another one. The program then runs in
the same process: it starts no other.
"""

import argparse
import os
import pathlib
import subprocess
import sys
import tempfile

_ROOT = pathlib.Path(__file__).resolve().parent.parent
UNPACK_FOLDER = "/tmp/crowwinch"


def build(output: pathlib.Path) -> None:
    """Writes the program to a file.

    Raises:
        subprocess.CalledProcessError: If a build step fails.
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        source = pathlib.Path(folder) / "source"
        source.mkdir()
        for name in ("crowwinch", "requirements"):
            _copy(_ROOT / name, source / name)
        project = (_ROOT / "pyproject.toml").read_text()
        (source / "pyproject.toml").write_text(project)
        subprocess.run(
            [
                sys.executable,
                "-m",
                "shiv",
                "--console-script=crowwinch",
                "--compressed",
                "--reproducible",
                f"--root={UNPACK_FOLDER}",
                f"--output-file={output}",
                "--python=/usr/bin/env python3",
                "--quiet",
                str(source),
            ],
            check=True,
            env={"SOURCE_DATE_EPOCH": "315532800", **os.environ},
        )


def _copy(source: pathlib.Path, target: pathlib.Path) -> None:
    for path in sorted(source.rglob("*")):
        relative = path.relative_to(source)
        skipped = {"tests", "__pycache__"} & set(relative.parts)
        if path.is_file() and not skipped:
            (target / relative).parent.mkdir(parents=True, exist_ok=True)
            (target / relative).write_bytes(path.read_bytes())


def main() -> None:
    """Builds to the path on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("output", type=pathlib.Path)
    output = parser.parse_args().output
    build(output)
    print(f"{output}: {output.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
