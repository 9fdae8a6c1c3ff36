"""Reading of resource files.

A resource file is TOML with one ``[[resources]]`` table for each resource, which holds
its kind, name, owner and spec.
"""

import tomllib
from pathlib import Path

from endive_core.exceptions import EndiveError
from endive_core.resources import Resource


class FileError(Exception):
    """A file or a command's argument is invalid; one line says where and why."""


def read_resources(path: str | Path) -> list[dict]:
    """Return the validated resources of a file, in order.

    Raises
    ------
    FileError
        If the file can't be read or is not TOML, or a resource in it is invalid.
    """
    try:
        value = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise FileError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise FileError(f"{path}: invalid TOML: {error}") from None
    entries = value.get("resources")
    if not isinstance(entries, list) or set(value) != {"resources"}:
        raise FileError(
            f"{path}: expected [[resources]] tables and no other top-level key"
        )
    return [_validated(path, number, entry) for number, entry in enumerate(entries, 1)]


def _validated(path: str | Path, number: int, entry: dict) -> dict:
    try:
        Resource.from_body(entry)
    except EndiveError as error:
        problem = error.details["fields"][0]
        where = entry.get("name", number)
        raise FileError(
            f"{path}: resource {where}: {problem['field']}: {problem['problem']}, "
            f"found {problem['found']}"
        ) from None
    return entry
