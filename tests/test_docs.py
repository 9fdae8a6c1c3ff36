"""Checks that commands, settings and metrics in the docs match the code."""

import re
from pathlib import Path

import pytest
from endive_core.exceptions import ERROR_RESPONSES, REFUSAL_KINDS, RetryReason
from endive_ctl.cli import Commands, ExitCode
from endive_node.settings import setting_rows
from endive_node.telemetry import DROP_REASONS

ROOT = Path(__file__).parent.parent
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md"))]
NODE_COMMANDS = {"run", "check", "settings"}


def text_of(name):
    return (ROOT / name).read_text()


def test_settings_table_is_that_of_the_models():
    """Otherwise operators would read defaults that the code no longer has."""
    page = text_of("docs/OPERATIONS.md")
    table = page.split("<!-- settings -->\n")[1].split("<!-- end of settings -->")[0]
    rows = [f"| `{r.key}` | {r.default} | {r.description} |" for r in setting_rows()]
    assert table.splitlines() == rows, "paste the output of `endive-node settings`"


def test_errors_table_is_that_of_the_code():
    """Otherwise callers could read "not run" where the code reports "unknown"."""
    page = text_of("docs/CALLERS.md")
    table = page.split("<!-- errors -->\n")[1].split("<!-- end of errors -->")[0]
    rows = [
        f"| `{kind}` | {response.status} | {response.executed} "
        f"| {response.retry_after_s or 'no use'} |"
        for kind, response in ERROR_RESPONSES.items()
    ]
    assert table.splitlines() == rows


def test_every_setting_is_described():
    assert not [row.key for row in setting_rows() if not row.description]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_commands_in_the_pages_exist(page):
    text = page.read_text()
    for command in re.findall(r"\bendivectl (?:--\w+ \S+ )*([a-z]+)\b", text):
        if command not in ("takes", "as", "goes"):
            assert hasattr(Commands, command), command
    for command in re.findall(r"`endive-node ([a-z]+)", text):
        assert command in NODE_COMMANDS, command
    targets = re.findall(r"^([a-z-]+):", text_of("Makefile"), re.MULTILINE)
    for target in re.findall(r"`make ([a-z-]+)", text):
        assert target in targets, target


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_pages_linked_to_exist(page):
    for link in re.findall(r"\]\(([\w./-]+)\)", page.read_text()):
        assert (page.parent / link).exists(), link


def test_reason_counters_in_the_alarms_exist():
    known = {f"endive_refused_{kind}_total" for kind in REFUSAL_KINDS}
    known |= {f"endive_retried_{reason}_total" for reason in RetryReason}
    known |= {f"endive_pieces_dropped_{reason}_total" for reason in DROP_REASONS}
    page = text_of("docs/OPERATIONS.md")
    named = re.findall(r"endive_(?:refused|retried|pieces_dropped)_\w+", page)
    assert named
    assert set(named) <= known


def test_exit_codes_are_listed():
    page = text_of("docs/OPERATIONS.md")
    for code in ExitCode:
        assert f"\n| {code.value} | " in page
