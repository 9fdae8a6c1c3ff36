import inspect
import subprocess
import sys

import pytest
from endive_ctl import overview
from endive_ctl.cli import EXIT_CODE_TEXTS, Commands, ExitCode


def public_commands():
    methods = inspect.getmembers(Commands, inspect.isfunction)
    return {name for name, _ in methods if not name.startswith("_")}


@pytest.mark.parametrize("arguments", [[], ["--help"], ["-h"], ["help"]])
def test_help_lists_all_commands_with_a_line_each(arguments):
    """fire printed the flags of all commands, and no command."""
    done = subprocess.run(
        [sys.executable, "-m", "endive_ctl.cli", *arguments],
        capture_output=True,
        text=True,
    )
    assert done.returncode == ExitCode.DONE
    listed = {line.split()[0] for line in done.stdout.splitlines() if line[:2] == "  "}
    assert public_commands() <= listed
    assert {str(int(code)) for code in ExitCode} <= listed
    assert "Show the outcome of one request" in done.stdout


def test_each_command_is_in_one_group():
    grouped = [name for _, names in overview.GROUPS for name in names]
    assert sorted(grouped) == sorted(public_commands())


def test_each_exit_code_is_explained():
    assert set(EXIT_CODE_TEXTS) == set(ExitCode)


def test_help_of_one_command_is_not_the_overview():
    assert not overview.is_asked(["get", "--help"])
