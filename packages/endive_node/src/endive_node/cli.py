"""The command line of ``endive-node``."""

from gevent import monkey

monkey.patch_all()

import signal  # noqa: E402
import sys  # noqa: E402

import fire  # noqa: E402
import gevent  # noqa: E402
from absl import flags, logging  # noqa: E402
from endive_core.exceptions import SettingsError  # noqa: E402

from endive_node.node import Node  # noqa: E402
from endive_node.settings import Settings, setting_rows  # noqa: E402

EXIT_BAD_SETTINGS = 2


def run(settings: str = "", embedded: bool = False) -> None:
    """Run a node until SIGTERM or SIGINT, then finish unfinished answers and stop.

    Parameters
    ----------
    settings
        Path of the TOML settings file.
    embedded
        Run with stand-ins for platform and backend servers in the same process.
    """
    flags.FLAGS.mark_as_parsed()  # absl prints a warning to every log otherwise
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    if embedded:
        from endive_node.embedded import start_embedded

        node = start_embedded()
    else:
        node = Node.from_settings(load(settings))
        node.start()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, gevent.spawn, node.drain)
    node.stopped.wait()


def check(settings: str) -> None:
    """Validate a settings file without starting anything."""
    load(settings)
    print(f"{settings}: ok")


def settings() -> None:
    """Print every setting with its default, as table rows of docs/OPERATIONS.md."""
    for row in setting_rows():
        print(f"| `{row.key}` | {row.default} | {row.description} |")


def load(path: str) -> Settings:
    """Return the settings at `path`; print an error and exit with code 2 if invalid."""
    try:
        if not path:
            raise SettingsError("settings: found nothing, allowed: --settings FILE")
        return Settings.from_file(path)
    except SettingsError as error:
        print(f"endive-node: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)


def main() -> None:
    """Run a command; without a command name, the flags are passed to ``run``."""
    arguments = sys.argv[1:]
    if not arguments or arguments[0].startswith("--"):
        arguments.insert(0, "run")
    commands = {"run": run, "check": check, "settings": settings}
    fire.Fire(commands, command=arguments, name="endive-node")


if __name__ == "__main__":
    main()
