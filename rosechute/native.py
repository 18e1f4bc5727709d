"""Import hook for the compiled modules in `.compiled/`.

The build (`deploy/build.sh`) compiles the modules on the request path and stores beside each library a copy of its
source. `install_finder` compares these copies with the current sources. If one differs, or no library fits this
interpreter, all modules are loaded from source, so that the running code always matches the sources.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping, Sequence
from importlib.machinery import EXTENSION_SUFFIXES, ModuleSpec
from importlib.util import spec_from_file_location
from types import ModuleType

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
LIBRARY_FOLDER = ".compiled"
DISABLE_VARIABLE = (
    "ROSECHUTE_PLAIN"  # environment variable; with 1, modules are loaded from source even if libraries exist
)


class CompiledModuleFinder:
    """Finder for modules in compiled libraries, placed before the source finders on `sys.meta_path`.

    Args:
        files: Paths of the libraries, by full module name.
    """

    def __init__(self, files: Mapping[str, str]) -> None:
        self._files = files

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return the spec of a compiled module; None for any other module."""
        file = self._files.get(name)
        return spec_from_file_location(name, file) if file is not None else None


def find_libraries(root: str = ROOT, folder: str = LIBRARY_FOLDER) -> dict[str, str]:
    """Return the paths of the libraries by module; empty if there are none, or if any source has changed.

    Args:
        root: Directory of the packages.
        folder: Directory of the libraries, absolute or relative to `root`. Libraries for another interpreter are
            ignored.
    """
    base = os.path.join(root, folder)
    suffix = EXTENSION_SUFFIXES[0]
    files: dict[str, str] = {}
    try:
        for directory, _, names in os.walk(base):
            for name in names:
                path = os.path.join(directory, name)
                relative = os.path.relpath(path, base)
                if name.endswith(suffix):
                    files[relative[: -len(suffix)].replace(os.sep, ".")] = path
                elif name.endswith(".py") and _read_bytes(path) != _read_bytes(os.path.join(root, relative)):
                    return {}
    except OSError:  # a source was removed, or a directory can't be read
        return {}
    return files


def install_finder(env: Mapping[str, str] = os.environ) -> bool:
    """Load the compiled modules from their libraries from now on; return whether this is in effect.

    Must run before any of these modules is imported. If one is loaded already, all are loaded from source: a compiled
    module can't mix classes of compiled and of source modules.
    """
    if any(isinstance(finder, CompiledModuleFinder) for finder in sys.meta_path):
        return True
    files = {} if env.get(DISABLE_VARIABLE) == "1" else find_libraries()
    if files and files.keys().isdisjoint(sys.modules):
        sys.meta_path.insert(0, CompiledModuleFinder(files))
        return True
    return False


def is_compiled() -> bool:
    """Return whether this process loaded the decision module from a library."""
    module = sys.modules.get("rosechute.load_balancing.rules")
    return module is not None and str(module.__file__).endswith(EXTENSION_SUFFIXES[0])


def _read_bytes(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read()
