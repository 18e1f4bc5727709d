"""Compile the modules on the request path into `.compiled/`, each library with a copy of its source.

    python deploy/compile.py            needs requirements-build.txt and a C compiler; about 100 s
    python deploy/compile.py --lab      also the simulator's model; needs the extra `lab`
    python deploy/compile.py --check    exit 0 if the libraries match the current sources

The libraries are replaced in one step, once all are built and can be loaded: an interrupted build leaves the previous
libraries in place. Libraries of other sources are never loaded (rosechute/native.py).
"""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
NEW_FOLDER, OBJECT_FOLDER = ROOT / ".compiled.new", ROOT / ".compiled.objects"
sys.path.insert(0, str(ROOT))

from rosechute import native  # noqa: E402 - from this checkout, whatever the working directory


def main() -> int:
    """Build or check the libraries; return the exit code."""
    if "--check" in sys.argv[1:]:
        return 0 if native.find_libraries() else 1
    lab = "--lab" in sys.argv[1:]
    shutil.rmtree(NEW_FOLDER, ignore_errors=True)
    completed = subprocess.run(
        [
            sys.executable,
            "setup.py",
            "-q",
            "build_ext",
            "--build-lib",
            str(NEW_FOLDER),
            "--build-temp",
            str(OBJECT_FOLDER),
            "--parallel",
            "4",
        ],
        cwd=ROOT,
        env={**os.environ, "ROSECHUTE_COMPILE": "lab" if lab else "1"},
        stdout=subprocess.DEVNULL,
    )
    if completed.returncode:
        return completed.returncode
    modules = []
    for library in sorted(NEW_FOLDER.rglob("*.so")):
        relative = library.relative_to(NEW_FOLDER)
        name = relative.as_posix().split(".")[0]
        source = ROOT / f"{name}.py"
        if source.exists():
            shutil.copyfile(source, NEW_FOLDER / f"{name}.py")
            modules.append(name.replace("/", "."))
    shutil.copyfile(
        ROOT / "setup.py", NEW_FOLDER / "setup.py"
    )  # it lists the compiled modules and the compiler options
    # A library that can't be loaded would prevent the sidecar from starting.
    load_check = (
        f"import importlib, sys; sys.path.insert(0, {str(ROOT)!r}); from rosechute import native; "
        "sys.meta_path.insert(0, native.CompiledModuleFinder("
        f"native.find_libraries({str(ROOT)!r}, {str(NEW_FOLDER)!r}))); "
        f"import rosechute.sidecar.sidecar; {'import rosechute.simulation.run; ' if lab else ''}"
        f"assert all(sys.modules[name].__file__.endswith('.so') for name in {modules!r})"
    )
    completed = subprocess.run([sys.executable, "-c", load_check], cwd=ROOT)
    if completed.returncode:
        return completed.returncode
    target = ROOT / native.LIBRARY_FOLDER
    shutil.rmtree(target, ignore_errors=True)
    NEW_FOLDER.rename(target)
    shutil.rmtree(OBJECT_FOLDER, ignore_errors=True)
    print(f"build: compiled {len(modules)} modules")
    return 0


if __name__ == "__main__":
    sys.exit(main())
