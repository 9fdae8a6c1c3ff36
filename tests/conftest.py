import re

import builders
import pytest

MAX_LINES = 60
DECISIONS = re.compile(
    "event=(reclaim_notice|handover_|peer_|moved|stopping|crash_|server_(crash|still))"
    "|Error"
)
"""Lines of a node's log that show what it did after a notice or a crash."""


@pytest.fixture
def cluster(tmp_path):
    """Start separate processes, which end with the test."""
    started = builders.Cluster(tmp_path)
    yield started
    started.stop()


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    """Print what the nodes of a failed test decided, since its folder is not kept."""
    report = (yield).get_result()
    folder = getattr(item, "funcargs", {}).get("tmp_path")
    if report.when != "call" or not report.failed or folder is None:
        return
    for output in sorted(folder.glob("node-*.out")):
        text = output.read_text(errors="replace")
        lines = [line for line in text.splitlines() if DECISIONS.search(line)]
        report.sections.append((output.name, "\n".join(lines[-MAX_LINES:])))
