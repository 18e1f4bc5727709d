"""Compiled modules are loaded only if their libraries match the current sources."""

import subprocess
import sys
from importlib.machinery import EXTENSION_SUFFIXES

import pytest

from rosechute import native

SUFFIX = EXTENSION_SUFFIXES[0]


@pytest.fixture
def root(tmp_path):
    for base in (tmp_path, tmp_path / native.LIBRARY_FOLDER):
        (base / "pack").mkdir(parents=True)
        (base / "pack" / "one.py").write_text("ONE = 1\n")
    (tmp_path / native.LIBRARY_FOLDER / "pack" / f"one{SUFFIX}").write_bytes(b"")
    (tmp_path / native.LIBRARY_FOLDER / f"group__mypyc{SUFFIX}").write_bytes(b"")
    return tmp_path


def test_libraries_of_unchanged_sources_are_found_by_module(root):
    base = root / native.LIBRARY_FOLDER
    assert native.find_libraries(str(root)) == {
        "pack.one": str(base / "pack" / f"one{SUFFIX}"),
        "group__mypyc": str(base / f"group__mypyc{SUFFIX}"),
    }


@pytest.mark.parametrize("change", ["edited", "gone", "none"])
def test_no_library_is_used_if_a_source_differs(root, change):
    source = root / "pack" / "one.py"
    if change == "edited":
        source.write_text("ONE = 2\n")
    elif change == "gone":
        source.unlink()
    else:
        (root / native.LIBRARY_FOLDER).rename(root / "elsewhere")
    assert native.find_libraries(str(root)) == {}


def test_libraries_of_another_interpreter_are_ignored(root):
    base = root / native.LIBRARY_FOLDER
    (base / "pack" / f"one{SUFFIX}").rename(base / "pack" / "one.cpython-27-other.so")
    assert set(native.find_libraries(str(root))) == {"group__mypyc"}


def test_finder_finds_only_modules_with_a_library(root):
    finder = native.CompiledModuleFinder(native.find_libraries(str(root)))
    assert finder.find_spec("pack.one").origin.endswith(SUFFIX)
    assert finder.find_spec("pack.two") is None


def test_environment_variable_disables_compiled_modules():
    code = (
        "from rosechute import native; native.install_finder(); "
        "import rosechute.load_balancing.rules; print(native.is_compiled())"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code],
        env={native.DISABLE_VARIABLE: "1"},
        capture_output=True,
        text=True,
        cwd=native.ROOT,
        check=True,
    )
    assert completed.stdout == "False\n"


def test_finder_is_not_installed_after_a_module_was_loaded_from_source(root, monkeypatch):
    monkeypatch.setattr(native, "find_libraries", lambda: {"rosechute.load_balancing.rules": "/nowhere.so"})
    monkeypatch.setattr(
        sys, "meta_path", [f for f in sys.meta_path if not isinstance(f, native.CompiledModuleFinder)]
    )
    assert "rosechute.load_balancing.rules" in sys.modules or __import__("rosechute.load_balancing.rules")
    assert not native.install_finder({})
    assert not any(isinstance(finder, native.CompiledModuleFinder) for finder in sys.meta_path)
