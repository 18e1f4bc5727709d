"""Compile the modules on each request's way into `.compiled/`, each library with the source it was made from.

    python deploy/compile.py            needs requirements-build.txt and a C compiler; about 100 s
    python deploy/compile.py --lab      the lab's model as well; needs the extra `lab`, too
    python deploy/compile.py --check    exit 0 where what is there was made from the sources as they are now

The libraries appear at once and only when all are there and can be loaded: a build that breaks off leaves what was
there before, and libraries of other sources are never loaded (rosechute/native.py).
"""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
NEW, OBJECTS = ROOT / ".compiled.new", ROOT / ".compiled.objects"
sys.path.insert(0, str(ROOT))

from rosechute import native  # noqa: E402 - the checkout's, wherever this is started


def main() -> int:
    if "--check" in sys.argv[1:]:
        return 0 if native.found() else 1
    lab = "--lab" in sys.argv[1:]
    shutil.rmtree(NEW, ignore_errors=True)
    done = subprocess.run(
        [
            sys.executable,
            "setup.py",
            "-q",
            "build_ext",
            "--build-lib",
            str(NEW),
            "--build-temp",
            str(OBJECTS),
            "--parallel",
            "4",
        ],
        cwd=ROOT,
        env={**os.environ, "ROSECHUTE_COMPILE": "lab" if lab else "1"},
        stdout=subprocess.DEVNULL,
    )
    if done.returncode:
        return done.returncode
    names = []
    for library in sorted(NEW.rglob("*.so")):
        place = library.relative_to(NEW)
        name = place.as_posix().split(".")[0]
        source = ROOT / f"{name}.py"
        if source.exists():
            shutil.copyfile(source, NEW / f"{name}.py")
            names.append(name.replace("/", "."))
    shutil.copyfile(ROOT / "setup.py", NEW / "setup.py")  # which modules are compiled, and how
    # A library that can't be loaded here must not be what keeps the sidecar from its start.
    trial = (
        f"import importlib, sys; sys.path.insert(0, {str(ROOT)!r}); from rosechute import native; "
        f"sys.meta_path.insert(0, native.Libraries(native.found({str(ROOT)!r}, {str(NEW)!r}))); "
        f"import rosechute.sidecar.sidecar; {'import rosechute.simulation.run; ' if lab else ''}"
        f"assert all(sys.modules[name].__file__.endswith('.so') for name in {names!r})"
    )
    done = subprocess.run([sys.executable, "-c", trial], cwd=ROOT)
    if done.returncode:
        return done.returncode
    old = ROOT / native.FOLDER
    shutil.rmtree(old, ignore_errors=True)
    NEW.rename(old)
    shutil.rmtree(OBJECTS, ignore_errors=True)
    print(f"build: compiled {len(names)} modules")
    return 0


if __name__ == "__main__":
    sys.exit(main())
