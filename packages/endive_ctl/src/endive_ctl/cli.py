"""The command line of ``endivectl``."""

import os
import sys

import fire
import msgspec

from endive_ctl.client import ApiError, OperatorClient
from endive_ctl.files import FileError, read_resources

EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
DEFAULT_SERVER = "http://127.0.0.1:8081"


class Commands:
    """Operate endivestack: create, change and watch resources.

    Parameters
    ----------
    server
        Address of a node's operators' port; or ``ENDIVE_SERVER``.
    token
        The operator's token; or ``ENDIVE_TOKEN``.
    """

    def __init__(self, server: str = "", token: str = "") -> None:
        self._client = OperatorClient(
            server or os.environ.get("ENDIVE_SERVER", DEFAULT_SERVER),
            str(token) or os.environ.get("ENDIVE_TOKEN", ""),
        )

    def apply(self, file: str) -> None:
        """Create or change every resource in FILE, in order."""
        for resource in read_resources(file):
            answer = self._client.put(resource)
            print(f"{resource['kind']}/{resource['name']} version {answer['version']}")

    def get(self, kind: str, name: str) -> None:
        """Show one resource."""
        print_json(self._client.get(kind, name))

    def list(self, kind: str) -> None:
        """Show all resources of a kind."""
        print_json(self._client.list(kind))


def print_json(value) -> None:
    """Print a JSON value for programs and people."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def main() -> None:
    """Run ``endivectl``; errors are one line on standard error."""
    try:
        fire.Fire(Commands, name="endivectl")
    except FileError as error:
        print(f"endivectl: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    except ApiError as error:
        print(f"endivectl: {error}", file=sys.stderr)
        sys.exit(EXIT_REFUSED)


if __name__ == "__main__":
    main()
