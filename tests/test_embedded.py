"""The first command that a newcomer types."""

import re
import shlex
import signal
import subprocess
import sys

import builders
import pytest


@pytest.fixture(scope="module")
def embedded(tmp_path_factory):
    """``endive-node --embedded`` and the file that its output goes to."""
    output = tmp_path_factory.mktemp("embedded") / "output"
    command = [sys.executable, "-m", "endive_node.cli", "--embedded"]
    with output.open("wb") as sink:
        process = subprocess.Popen(command, stdout=sink, stderr=subprocess.STDOUT)
    try:
        builders.wait_until(lambda: "endivectl" in output.read_text(), "the welcome")
        yield process, output
    finally:
        process.send_signal(signal.SIGTERM)
        process.wait(timeout=20)


def send_curl_line(line):
    """Send what a pasted curl line would; return the response."""
    words = shlex.split(line)
    url = next(word for word in words if word.startswith("http://"))
    options = list(zip(words, words[1:], strict=False))
    headers = dict(value.split(": ", 1) for flag, value in options if flag == "-H")
    (body,) = (value for flag, value in options if flag == "-d")
    return builders.http.request("POST", url, body=body, headers=headers)


def curl_line(text):
    """Return the curl line in `text`, its continuations joined."""
    return re.search(r"^curl -(?:.*\\\n)*.*$", text, re.MULTILINE)[0].replace(
        "\\\n", ""
    )


@pytest.mark.processes
def test_curl_line_works_as_printed(embedded):
    _, output = embedded
    answer = send_curl_line(curl_line(output.read_text()))
    assert answer.status == 200
    assert answer.data.endswith(b"data: [DONE]\n\n")
    assert answer.data.count(b"data: ") == 9


@pytest.mark.processes
def test_curl_line_of_the_readme_works(embedded):
    with open("README.md") as page:
        answer = send_curl_line(curl_line(page.read()))
    assert answer.status == 200
    assert answer.data.endswith(b"data: [DONE]\n\n")


@pytest.mark.processes
def test_operators_line_works_as_printed(embedded):
    _, output = embedded
    line = re.search(r"^\.venv/bin/endivectl (.*)$", output.read_text(), re.MULTILINE)
    command = [sys.executable, "-m", "endive_ctl.cli", *shlex.split(line[1])]
    done = subprocess.run(command, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    assert "deployment" in done.stdout
