"""``endive-node --embedded`` and the commands that it and the README print."""

import re
import shlex
import signal
import subprocess
import sys

import builders
import pytest


@pytest.fixture(scope="module")
def embedded(tmp_path_factory):
    """Run ``endive-node --embedded``; yield the process and its output file."""
    output = tmp_path_factory.mktemp("embedded") / "output"
    command = [sys.executable, "-m", "endive_node.cli", "--embedded"]
    with output.open("wb") as sink:
        process = subprocess.Popen(command, stdout=sink, stderr=subprocess.STDOUT)
    try:
        builders.wait_until(
            lambda: "endivectl" in output.read_text(), "the printed commands"
        )
        yield process, output
    finally:
        process.send_signal(signal.SIGTERM)
        process.wait(timeout=20)


def send_curl_line(line):
    """Send the request of a curl command; return the response."""
    words = shlex.split(line)
    url = next(word for word in words if word.startswith("http://"))
    options = list(zip(words, words[1:], strict=False))
    headers = dict(value.split(": ", 1) for flag, value in options if flag == "-H")
    (body,) = (value for flag, value in options if flag == "-d")
    return builders.http.request("POST", url, body=body, headers=headers)


def curl_line(text):
    """Return the curl command in `text` with its continuation lines joined."""
    return re.search(r"^curl -(?:.*\\\n)*.*$", text, re.MULTILINE)[0].replace(
        "\\\n", ""
    )


@pytest.mark.processes
def test_curl_line_works_as_printed(embedded):
    _, output = embedded
    response = send_curl_line(curl_line(output.read_text()))
    assert response.status == 200
    assert response.data.endswith(b"data: [DONE]\n\n")
    assert response.data.count(b"data: ") == 9


@pytest.mark.processes
def test_curl_line_of_the_readme_works(embedded):
    with open("README.md") as page:
        response = send_curl_line(curl_line(page.read()))
    assert response.status == 200
    assert response.data.endswith(b"data: [DONE]\n\n")


@pytest.mark.processes
def test_operators_line_works_as_printed(embedded):
    _, output = embedded
    line = re.search(r"^\.venv/bin/endivectl (.*)$", output.read_text(), re.MULTILINE)
    command = [sys.executable, "-m", "endive_ctl.cli", *shlex.split(line[1])]
    done = subprocess.run(command, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    assert "deployment" in done.stdout
