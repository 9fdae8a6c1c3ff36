import subprocess
import sys

GOOD = """
[node]
id = "node-1"
zone = "brest"
[platform]
log = "http://127.0.0.1:9000"
"""


def check(tmp_path, text, *, command="check"):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    argument = f"--settings={path}" if command == "run" else str(path)
    return subprocess.run(
        [sys.executable, "-m", "endive_node.cli", command, argument],
        capture_output=True,
        text=True,
    )


def test_good_file_is_checked_without_starting(tmp_path):
    result = check(tmp_path, GOOD)
    assert result.returncode == 0, result.stderr


def test_bad_value_ends_with_code_2_and_one_line(tmp_path):
    bad = GOOD.replace('zone = "brest"', 'zone = "brest"\ncaller_port = 70000')
    for command in ("check", "run"):
        result = check(tmp_path, bad, command=command)
        assert result.returncode == 2
        (line,) = result.stderr.strip().splitlines()
        assert "node.caller_port" in line
        assert "70000" in line
        assert "65535" in line


def test_unknown_key_and_missing_key_are_named(tmp_path):
    unknown = check(tmp_path, GOOD + '\n[limits]\ncolour = "red"\n')
    assert unknown.returncode == 2
    assert "limits.colour" in unknown.stderr
    missing = check(tmp_path, GOOD.replace('id = "node-1"\n', ""))
    assert missing.returncode == 2
    assert "node.id" in missing.stderr
