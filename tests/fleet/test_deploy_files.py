"""The deploy file and the deployments of our own for the bench: what can be checked without it."""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
import unittest
from importlib.util import find_spec
from pathlib import Path
from typing import Any

DEPLOY = Path(__file__).resolve().parents[2] / "deploy"
SITES = (
    "harbour-ferries",
    "valley-registry",
    "canal-transit",
    "orchard-pharmacies",
    "mill-archives",
    "delta-signals",
    "ridge-schools",
    "port-customs",
)
# Programs that the build runs, by the Debian package that brings them. Every Debian machine has the essential ones.
ESSENTIAL = {"dash": ("sh",), "coreutils": ("cat", "mkdir", "mv", "rm", "test"), "diffutils": ("cmp",)}
PACKAGES = {"python3": ("python3",), "python3-pip": ()}  # the latter brings the module `pip`
# Part of the interpreter, or needed to find the project.
ALLOWED_BEFORE_SIGNALS = {"rosechute", "gc", "posix"}
SLOTS = {"quiet", "trouble", "scale"}


def read(path: Path) -> dict[str, Any]:
    """A TOML file."""
    return tomllib.loads(path.read_text(encoding="utf-8"))


def loaded_modules(*command: str) -> list[str]:
    """Return the modules that the interpreter loads for a command without settings, in order."""
    run = subprocess.run(
        [sys.executable, "-S", "-X", "importtime", *command],
        cwd=DEPLOY.parent,
        env={"PATH": os.environ["PATH"]},
        capture_output=True,
        text=True,
    )
    reported = (line.split("|") for line in run.stderr.splitlines() if line.startswith("import time:"))
    return [columns[2].strip() for columns in reported if len(columns) == 3]


class DeployFile(unittest.TestCase):
    """deploy/system.toml."""

    def test_roles_name_programs_that_exist(self) -> None:
        for name, role in read(DEPLOY / "system.toml")["roles"].items():
            program, option, script, argument = role["run"].split()
            self.assertEqual((program, option, argument), ("python3", "-S", name))
            self.assertTrue((DEPLOY.parent / script).is_file(), script)
            self.assertIsNotNone(find_spec(f"rosechute.processes.{argument}"))

    def test_signals_are_handled_before_the_program_loads_anything_else(self) -> None:
        """A signal that arrives earlier ends the process by its default action."""
        bare = loaded_modules("-c", "pass")
        roles = [role["run"] for role in read(DEPLOY / "system.toml")["roles"].values()]
        for run in (*roles, read(DEPLOY / "balancer.toml")["run"].removeprefix("exec ")):
            _, option, *command = run.split()
            self.assertEqual(option, "-S")
            loaded = loaded_modules(*command)
            before = loaded[: loaded.index("rosechute.process_start")]
            self.assertLessEqual(set(before) - set(bare), ALLOWED_BEFORE_SIGNALS)

    def test_each_side_is_served_once(self) -> None:
        served = [side for role in read(DEPLOY / "system.toml")["roles"].values() for side in role["serves"]]
        self.assertEqual(sorted(served), ["control_plane", "edge"])

    def test_the_build_is_there(self) -> None:
        command, script = read(DEPLOY / "system.toml")["build"].split()
        self.assertEqual(command, "sh")
        self.assertTrue((DEPLOY.parent / script).is_file())


class CleanMachine(unittest.TestCase):
    """The build with nothing on PATH but what the packages of deploy/system.toml bring, and essential ones."""

    def test_the_packages_are_those_that_the_build_is_tried_with(self) -> None:
        self.assertEqual(set(read(DEPLOY / "system.toml")["packages"]), set(PACKAGES))

    def test_the_build_finds_all_that_it_runs(self) -> None:
        with tempfile.TemporaryDirectory() as place:
            root, programs = Path(place) / "project", Path(place) / "programs"
            programs.mkdir()
            for names in (*ESSENTIAL.values(), *PACKAGES.values()):
                for name in names:
                    found = sys.executable if name == "python3" else shutil.which(name)
                    assert found is not None, name
                    (programs / name).symlink_to(found)
            for name in ("rosechute", "deploy"):
                shutil.copytree(DEPLOY.parent / name, root / name, ignore=shutil.ignore_patterns("__pycache__"))
            shutil.copy(DEPLOY.parent / "requirements-fleet.txt", root)
            kept = {name: value for name, value in os.environ.items() if name.startswith(("PIP_", "SSL_"))}
            clean = {"PATH": str(programs), "HOME": place, "LANG": "C.UTF-8"} | kept
            command, script = read(DEPLOY / "system.toml")["build"].split()
            subprocess.run([programs / command, script], cwd=root, env=clean, check=True, capture_output=True)
            loads = "import rosechute.processes.edge, rosechute.processes.core"
            clean["PYTHONPATH"] = str(root / "target" / "deps")
            subprocess.run([programs / "python3", "-S", "-c", loads], cwd=root, env=clean, check=True)


class Pins(unittest.TestCase):
    """Libraries of the fleet."""

    def test_the_package_names_the_versions_that_the_build_installs(self) -> None:
        lines = (DEPLOY.parent / "requirements-fleet.txt").read_text(encoding="utf-8").splitlines()
        project = read(DEPLOY.parent / "pyproject.toml")["project"]
        named = project["dependencies"] + project["optional-dependencies"]["fleet"]
        self.assertLessEqual(set(named), set(lines))


class Sites(unittest.TestCase):
    """deploy/sites."""

    def test_every_name_in_a_site_is_defined_there(self) -> None:
        for name in SITES:
            path = DEPLOY / "sites" / name / f"{name}.toml"
            site = read(path)
            zones = {zone["name"] for zone in site["zones"]}
            services = {service["name"] for service in site["services"]}
            classes = {kind["name"] for kind in site["classes"]}
            with self.subTest(name):
                json.loads((path.parent / site["wire"]).read_text(encoding="utf-8"))
                self.assertEqual({day["slot"] for day in site["day"]}, SLOTS)
                self.assertLessEqual({kind["service"] for kind in site["classes"]}, services)
                places = site["machines"] + site["traffic"] + [site["cloud"]]
                places += [server for service in site["services"] for server in service["servers"]]
                places += [flow for day in site["day"] for flow in day.get("traffic", [])]
                self.assertLessEqual({place["zone"] for place in places}, zones)
                for flow in site["traffic"] + [flow for day in site["day"] for flow in day.get("traffic", [])]:
                    self.assertEqual(set(flow["mix"]), classes)

    def test_the_core_outlives_what_a_site_has_it_bear(self) -> None:
        for name in SITES:
            site = read(DEPLOY / "sites" / name / f"{name}.toml")
            core = sum(machine["count"] for machine in site["machines"] if machine["class"] == "core")
            self.assertGreater(core, 2 * site["tolerate"]["machines"], name)
