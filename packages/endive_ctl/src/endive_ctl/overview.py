"""The overview of all commands that ``endivectl --help`` prints."""

import inspect

GROUPS = (
    (
        "For operators who change resources",
        ("apply", "check", "get", "list", "delete", "watch"),
    ),
    (
        "For operators who look into the running system",
        ("status", "explain", "explain_placement"),
    ),
    ("From gateways' logs, without a node", ("losses", "trace", "rollout")),
)
"""Commands by who needs them, and for what."""

HELP_FLAGS = frozenset({"help", "--help", "-h"})

TEXT = """\
endivectl - operate endivestack: create, change, inspect and watch resources.

Usage: endivectl [--server=URLS] [--token=TOKEN] [--output=table|json] COMMAND ...

{commands}
Examples:
  endivectl apply resources.toml --dry_run
  endivectl get backend-server-service engines
  endivectl losses node-*.log --every 5
  endivectl explain_placement chat --node 10.0.0.4:9464 --parts a1:500,b2:90

--server and --token default to ENDIVE_SERVER, else {server}, and to
ENDIVE_TOKEN. `endivectl COMMAND --help` tells a command's arguments.

Exit codes:
{exit_codes}
"""


def is_asked(arguments: list[str]) -> bool:
    """Return whether the overview is asked for, rather than one command."""
    return not arguments or (len(arguments) == 1 and arguments[0] in HELP_FLAGS)


def overview(commands: type, server: str, exit_codes: dict[int, str]) -> str:
    """Return the overview.

    Parameters
    ----------
    commands
        The class whose public methods are the commands.
    server
        The default address of a node.
    exit_codes
        What each exit code of the process says.
    """
    width = max(len(name) for _, names in GROUPS for name in names)
    lines = []
    for title, names in GROUPS:
        lines.append(f"{title}:")
        for name in names:
            summary = inspect.getdoc(getattr(commands, name)).splitlines()[0]
            lines.append(f"  {name:<{width}}  {summary}")
        lines.append("")
    codes = "\n".join(f"  {code}  {text}" for code, text in exit_codes.items())
    return TEXT.format(commands="\n".join(lines), server=server, exit_codes=codes)
