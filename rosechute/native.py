"""Which modules are loaded compiled: those that the build left in `.compiled/`, where they are of these sources.

The build (`deploy/build.sh`) compiles the modules on each request's way and puts beside every library a copy of the
source it was made from. Before the process loads them, `prefer` compares. Any difference, a library of another
interpreter or none at all, and every module comes from its source: what runs is always what can be read.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping, Sequence
from importlib.machinery import EXTENSION_SUFFIXES, ModuleSpec
from importlib.util import spec_from_file_location
from types import ModuleType

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
FOLDER = ".compiled"
OFF = "ROSECHUTE_PLAIN"  # set to 1: from the sources, whatever was built


class Libraries:
    """Finds modules in compiled libraries. Stands before the finders of sources on `sys.meta_path`.

    Args:
        files: The library of each module, by the module's full name.
    """

    def __init__(self, files: Mapping[str, str]) -> None:
        self._files = files

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        file = self._files.get(name)
        return spec_from_file_location(name, file) if file is not None else None


def found(root: str = ROOT, folder: str = FOLDER) -> dict[str, str]:
    """The libraries to load, by module; empty where there are none or any differs from its source.

    Args:
        root: The folder that holds the packages.
        folder: The one that holds the libraries, below `root` or absolute. Libraries of another interpreter are
            passed over.
    """
    base = os.path.join(root, folder)
    suffix = EXTENSION_SUFFIXES[0]
    files: dict[str, str] = {}
    try:
        for inside, _, names in os.walk(base):
            for name in names:
                path = os.path.join(inside, name)
                place = os.path.relpath(path, base)
                if name.endswith(suffix):
                    files[place[: -len(suffix)].replace(os.sep, ".")] = path
                elif name.endswith(".py") and _bytes(path) != _bytes(os.path.join(root, place)):
                    return {}
    except OSError:  # a source that is gone, or a folder that may not be read: nothing to rely on
        return {}
    return files


def prefer(env: Mapping[str, str] = os.environ) -> bool:
    """Have modules come from their libraries from now on; whether they do.

    This goes before any import of theirs: where one of them is loaded already, all come from their sources, as a
    compiled module does not take another's classes from both.
    """
    if any(isinstance(finder, Libraries) for finder in sys.meta_path):
        return True
    files = {} if env.get(OFF) == "1" else found()
    if files and files.keys().isdisjoint(sys.modules):
        sys.meta_path.insert(0, Libraries(files))
        return True
    return False


def in_force() -> bool:
    """Whether the decision module of this process was loaded from a library."""
    module = sys.modules.get("rosechute.load_balancing.rules")
    return module is not None and str(module.__file__).endswith(EXTENSION_SUFFIXES[0])


def _bytes(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read()
