"""What the build puts under ``target/deps``."""

import os
import re
import shutil
import subprocess
from importlib.metadata import requires
from pathlib import Path

import pytest
from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

ROOT = Path(__file__).resolve().parents[1]
PACKAGES = ("endive_core", "endive_node", "endive_gateway")
ARM, X86 = "cpython-311 linux-aarch64", "cpython-311 linux-x86_64"

PYTHON = """#!/bin/sh
case "$*" in
  "-m pip "*) mkdir -p target/deps; echo "$MACHINE" >> installed ;;
  -c*) echo "$MACHINE" ;;
esac
"""
"""An interpreter that notes for which machine libraries are installed."""


@pytest.fixture
def checkout(tmp_path):
    """Return a folder that can be built, with an interpreter of its own."""
    folders = [f"packages/{name}/src/{name}" for name in PACKAGES]
    for folder in [*folders, "platform/src/endive_platform", "bin", "deploy"]:
        (tmp_path / folder).mkdir(parents=True)
    for name in ("build.sh", "requirements.txt"):
        shutil.copy(ROOT / "deploy" / name, tmp_path / "deploy")
    (tmp_path / "bin/python3").write_text(PYTHON)
    (tmp_path / "bin/python3").chmod(0o755)
    return tmp_path


def build(checkout, machine):
    """Build on a machine; return for which machines libraries were installed so far."""
    path = f"{checkout}/bin:{os.environ['PATH']}"
    environment = {"PATH": path, "MACHINE": machine}
    subprocess.run(["sh", "deploy/build.sh"], cwd=checkout, env=environment, check=True)
    return (checkout / "installed").read_text().splitlines()


def test_libraries_of_another_machine_are_not_used(checkout):
    """No process started: a folder from x86-64 kept its libraries on arm64."""
    assert build(checkout, X86) == [X86]
    assert build(checkout, X86) == [X86]
    assert build(checkout, ARM) == [X86, ARM]


def test_libraries_follow_the_requirements(checkout):
    """An older checkout has an older file, whose libraries were not installed."""
    build(checkout, ARM)
    requirements = checkout / "deploy/requirements.txt"
    requirements.write_text("gevent==26.8.0\n")
    os.utime(requirements, (0, 0))
    assert build(checkout, ARM) == [ARM, ARM]


def test_each_library_has_a_pinned_version():
    """What the libraries themselves need was whatever was newest on that day."""
    lines = (ROOT / "deploy/requirements.txt").read_text().split()
    pinned = {canonicalize_name(line.split("==")[0]) for line in lines}
    assert all(re.fullmatch(r"[\w.-]+==[\w.]+", line) for line in lines)
    for name in pinned:
        needed = [Requirement(text) for text in requires(name) or ()]
        for requirement in needed:
            if requirement.marker is None or requirement.marker.evaluate({"extra": ""}):
                assert canonicalize_name(requirement.name) in pinned, name
