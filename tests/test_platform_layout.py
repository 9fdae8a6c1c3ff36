import ast
import platform
import re
import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]

PLATFORM_NAMES = (
    "Deadline-Ms|Response-Seal|Expect-Instance|Not-Run|Prompt-Prefix|Token-Counts"
    "|Kv-From|Fencing-Token|Duty-Holder|Server-Load|Request-Priority|keyed\\.(op|servers)"
    "|log-(append|read|newest|join)|kv-move|ENDIVESTACK_BOOT"
)


def test_the_folder_does_not_shadow_the_standard_module():
    # A package `platform` at the root would shadow the standard module for programs
    # started there, and libraries that query the machine type would fail.
    assert platform.python_implementation()
    assert not (ROOT / "platform" / "__init__.py").exists()
    assert Path(platform.__file__).parent != ROOT / "platform"


def test_platform_names_appear_only_in_the_adapter():
    found = subprocess.run(
        [
            "git",
            "grep",
            "-nE",
            PLATFORM_NAMES,
            "--",
            "*.py",
            ":!platform",
            ":!**/tests/**",
            ":!tests",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert found.stdout == ""


def test_the_adapter_stays_small():
    files = (ROOT / "platform" / "src").rglob("*.py")
    assert sum(len(file.read_text().splitlines()) for file in files) < 1200


@pytest.mark.parametrize("package", ["endive_core", "endive_gateway", "endive_node"])
def test_a_package_lists_all_its_modules(package):
    """Readers find the module to change by the list in the package's doc comment."""
    folder = ROOT / "packages" / package / "src" / package
    listed = re.findall(r"``(\w+)``", (folder / "__init__.py").read_text())
    modules = [file.stem for file in folder.glob("*.py") if file.stem != "__init__"]
    assert sorted(listed) == sorted(modules)


def test_the_gateway_has_no_import_cycles():
    """Imports for types count too: no module of a cycle can be read by itself."""
    folder = ROOT / "packages" / "endive_gateway" / "src" / "endive_gateway"
    imports = {file.stem: set(imported_by(file)) for file in folder.glob("*.py")}
    while leaves := {name for name, needed in imports.items() if not needed}:
        imports = {
            name: needed - leaves
            for name, needed in imports.items()
            if name not in leaves
        }
    assert not imports


def imported_by(file):
    """Yield the modules of its own package that a file imports."""
    package = file.parent.name
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            head, _, module = node.module.partition(".")
            if head == package and module:
                yield module
