"""Which modules come from libraries: only those of the very sources that are there."""

import subprocess
import sys
from importlib.machinery import EXTENSION_SUFFIXES

import pytest

from rosechute import native

SUFFIX = EXTENSION_SUFFIXES[0]


@pytest.fixture
def root(tmp_path):
    for base in (tmp_path, tmp_path / native.FOLDER):
        (base / "pack").mkdir(parents=True)
        (base / "pack" / "one.py").write_text("ONE = 1\n")
    (tmp_path / native.FOLDER / "pack" / f"one{SUFFIX}").write_bytes(b"")
    (tmp_path / native.FOLDER / f"group__mypyc{SUFFIX}").write_bytes(b"")
    return tmp_path


def test_libraries_of_the_sources_as_they_are_get_found_by_module(root):
    base = root / native.FOLDER
    assert native.found(str(root)) == {
        "pack.one": str(base / "pack" / f"one{SUFFIX}"),
        "group__mypyc": str(base / f"group__mypyc{SUFFIX}"),
    }


@pytest.mark.parametrize("change", ["edited", "gone", "none"])
def test_none_is_taken_where_a_source_differs(root, change):
    source = root / "pack" / "one.py"
    if change == "edited":
        source.write_text("ONE = 2\n")
    elif change == "gone":
        source.unlink()
    else:
        (root / native.FOLDER).rename(root / "elsewhere")
    assert native.found(str(root)) == {}


def test_libraries_of_another_interpreter_are_passed_over(root):
    base = root / native.FOLDER
    (base / "pack" / f"one{SUFFIX}").rename(base / "pack" / "one.cpython-27-other.so")
    assert set(native.found(str(root))) == {"group__mypyc"}


def test_a_module_with_a_library_comes_from_it_and_others_from_their_source(root):
    finder = native.Libraries(native.found(str(root)))
    assert finder.find_spec("pack.one").origin.endswith(SUFFIX)
    assert finder.find_spec("pack.two") is None


def test_operators_can_have_the_sources_whatever_was_built():
    code = (
        "from rosechute import native; native.prefer(); "
        "import rosechute.load_balancing.rules; print(native.in_force())"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        env={native.OFF: "1"},
        capture_output=True,
        text=True,
        cwd=native.ROOT,
        check=True,
    )
    assert done.stdout == "False\n"


def test_nothing_is_mixed_where_a_module_is_loaded_from_its_source_already(root, monkeypatch):
    monkeypatch.setattr(native, "found", lambda: {"rosechute.load_balancing.rules": "/nowhere.so"})
    monkeypatch.setattr(sys, "meta_path", [f for f in sys.meta_path if not isinstance(f, native.Libraries)])
    assert "rosechute.load_balancing.rules" in sys.modules or __import__("rosechute.load_balancing.rules")
    assert not native.prefer({})
    assert not any(isinstance(finder, native.Libraries) for finder in sys.meta_path)
