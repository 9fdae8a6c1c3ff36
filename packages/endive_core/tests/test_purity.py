import ast
from pathlib import Path

import endive_core

FORBIDDEN = {"gevent", "socket", "urllib3", "bottle", "thriftpy2", "time", "random"}


def imported_modules(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module.split(".")[0]


def test_core_imports_neither_io_nor_clock():
    root = Path(endive_core.__file__).parent
    for path in root.glob("**/*.py"):
        assert not FORBIDDEN & set(imported_modules(path)), path.name
