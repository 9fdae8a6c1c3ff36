"""Commands of ``endivectl`` and the process's exit codes.

Exit codes: 0 success, 1 the node refused the request, 2 invalid input or usage, 3 no
node responded, 4 version conflict: another change was applied first.
"""

import dataclasses
import os
import sys
import time
from enum import IntEnum

import fire
import msgspec

from endive_ctl import overview, tables
from endive_ctl.client import UNREACHABLE, ApiError, OperatorClient
from endive_ctl.files import FileError, read_resources
from endive_ctl.loglines import read_lines
from endive_ctl.losses import LossReport
from endive_ctl.rollouts import rollout_histories

DEFAULT_SERVERS = "http://127.0.0.1:8081"
DEFAULT_GATEWAY = "127.0.0.1:9464"
WATCH_RETRY_DELAY_S = 1.0
"""Delay before a broken watch is resumed, seconds."""


class ExitCode(IntEnum):
    """Exit codes of ``endivectl``."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    CONFLICT = 4


EXIT_CODE_TEXTS = {
    ExitCode.DONE: "success",
    ExitCode.REFUSED: "the node refused the request",
    ExitCode.BAD_INPUT: "invalid input or usage",
    ExitCode.UNREACHABLE: "no node responded",
    ExitCode.CONFLICT: "version conflict: another change was applied first",
}

EXIT_CODES = {UNREACHABLE: ExitCode.UNREACHABLE, "version_conflict": ExitCode.CONFLICT}
"""Exit codes by error code; any other error code exits with ``REFUSED``."""


class Commands:
    """Operate endivestack: create, change, inspect and watch resources.

    Parameters
    ----------
    server
        Comma-separated URLs of the operators' API of one or more nodes. Every node
        serves all requests. Default: ``ENDIVE_SERVER``, or http://127.0.0.1:8081.
    token
        The operator's token. Default: ``ENDIVE_TOKEN``.
    output
        ``table`` for text, ``json`` for machine-readable output.
    """

    def __init__(
        self, server: str = "", token: str = "", output: str = "table"
    ) -> None:
        if output not in ("table", "json"):
            raise FileError(f"--output: found {output!r}, allowed: table, json")
        servers = server or os.environ.get("ENDIVE_SERVER", DEFAULT_SERVERS)
        addresses = servers.split(",") if isinstance(servers, str) else list(servers)
        self._client = OperatorClient(
            addresses, str(token) or os.environ.get("ENDIVE_TOKEN", "")
        )
        self._json = output == "json"

    def apply(
        self, file: str, dry_run: bool = False, expected_version: int | None = None
    ) -> None:
        """Create or change every resource in FILE, in order.

        With --dry_run the node checks every resource and changes none. With
        --expected_version, which needs a file with exactly one resource, the change
        is applied only if the resource is at that version.
        """
        resources = read_resources(file)
        if expected_version is not None and len(resources) != 1:
            raise FileError(
                f"--expected_version: found {len(resources)} resources, allowed: 1"
            )
        options = {"expected_version": expected_version}
        if dry_run:
            options["dry_run"] = "true"
        for resource in resources:
            response = self._client.put(resource, **options)
            name = f"{resource['kind']}/{resource['name']}"
            self._show(response, applied_line(name, response))

    def check(self, file: str) -> None:
        """Check FILE locally, without contacting a node."""
        count = len(read_resources(file))
        self._show({"resources": count}, f"{file}: {count} resources, ok")

    def get(self, kind: str, name: str) -> None:
        """Show one resource and its status."""
        response = self._client.get(kind, name)
        self._show(response, json_text(response))

    def list(self, kind: str) -> None:
        """Show all resources of KIND."""
        response = self._client.list(kind)
        self._show(response, tables.resources(response["items"]))

    def delete(self, kind: str, name: str, expected_version: int | None = None) -> None:
        """Delete one resource, unless another change to it comes first.

        With --expected_version it is deleted only if it is at that version.
        """
        response = self._client.delete(kind, name, expected_version=expected_version)
        self._show(response, f"{kind}/{name} deleted, version {response['version']}")

    def watch(
        self, kind: str | None = None, start: int | None = None, count: int = 0
    ) -> None:
        """Stream changes from version START on; exit after COUNT changes if given.

        A watch that breaks is resumed from the last version received.
        """
        shown = 0
        while True:
            try:
                for event in self._client.watch(start, kind):
                    start = event.version
                    if event.name == "error":
                        error = event.data["error"]
                        raise ApiError(error["code"], error["message"], error)
                    if event.name != "change":
                        continue
                    self._show(event.data, tables.event(event.version, event.data))
                    shown += 1
                    if shown == count:
                        return
            except ApiError as error:
                if error.kind != UNREACHABLE:
                    raise
                print(f"endivectl: {error}; resuming the watch", file=sys.stderr)
                time.sleep(WATCH_RETRY_DELAY_S)

    def status(self) -> None:
        """Show nodes, servers, refusals and configuration, as known to one node."""
        response = self._client.status()
        self._show(response, tables.status(response))

    def explain(self, request_id: str) -> None:
        """Show the outcome of one request and the events that led to it."""
        response = self._client.explain(request_id)
        self._show(response, tables.explanation(response))

    def explain_placement(
        self,
        route: str,
        node: str = "",
        organisation: str = "",
        prompt_tokens: int = 0,
        max_tokens: int = 1,
        model: str = "",
        parts: str = "",
        deadline_s: float | None = None,
        software_version: str = "",
    ) -> None:
        """Show where a request to ROUTE would go now, and why, without sending it.

        --node names the metrics address of the gateway that is asked, IP:PORT. Default:
        ``ENDIVE_GATEWAY``, or 127.0.0.1:9464. --parts lists the prompt's parts as
        ID:TOKENS, separated by commas. It changes nothing at the node.
        """
        query = {
            "route": route,
            "organisation": organisation,
            "prompt_tokens": prompt_tokens,
            "max_tokens": max_tokens,
            "model": model,
            "parts": ",".join(map(str, parts)) if isinstance(parts, tuple) else parts,
            "deadline_s": deadline_s,
            "software_version": software_version,
        }
        address = node or os.environ.get("ENDIVE_GATEWAY", DEFAULT_GATEWAY)
        gateway = OperatorClient([f"http://{address}"], "")
        response = gateway.call("GET", "/placement", **query)
        self._show(response, tables.placement(response))

    def losses(self, *files: str, every: float = 2.0) -> None:
        """Count requests in time, late and failed, by cause, from gateways' log FILES.

        --every SECONDS sets the length of the time intervals.
        """
        if not isinstance(every, int | float) or every <= 0:
            raise FileError(
                f"--every: found {every!r}, allowed: seconds greater than 0"
            )
        report = LossReport.from_lines(read_lines(files), every)
        self._show(report.to_body(), tables.losses(report))

    def trace(self, request_id: str, *files: str) -> None:
        """Show all events of one request on all nodes, from gateways' log FILES."""
        lines = [
            line
            for line in read_lines(files)
            if line.fields.get("request") == str(request_id)
        ]
        if not lines:
            raise FileError(f"no log line of request {request_id} in the given files")
        body = {"lines": [dataclasses.asdict(line) for line in lines]}
        self._show(body, tables.trace(lines))

    def rollout(self, *files: str, service: str = "") -> None:
        """Show orders, stages and evidence of rollouts, from gateways' log FILES.

        With --service NAME only those of one service.
        """
        histories = rollout_histories(read_lines(files), service)
        body = {"rollouts": [history.to_body() for history in histories]}
        self._show(body, tables.rollouts(histories))

    def _show(self, body: dict, text: str) -> None:
        print(json_text(body) if self._json else text, flush=True)


def applied_line(name: str, response: dict) -> str:
    """Return the output line for one applied resource, or for its dry run."""
    if not response.get("dry_run"):
        return f"{name} version {response['version']}"
    verb = "change" if response["before"] else "create"
    return f"{name} would {verb}"


def json_text(value) -> str:
    """Return `value` as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def error_lines(error: ApiError) -> str:
    """Return an error as one line, with the problem of each invalid field."""
    fields = error.details.get("fields", ())
    reasons = "; ".join(f"{f['field']}: {f['problem']}" for f in fields)
    return f"endivectl: {error}" + (f" ({reasons})" if reasons else "")


def main() -> None:
    """Run ``endivectl``; an error is printed as one line on standard error."""
    if overview.is_asked(sys.argv[1:]):
        print(overview.overview(Commands, DEFAULT_SERVERS, EXIT_CODE_TEXTS), end="")
        return
    try:
        fire.Fire(Commands, name="endivectl")
    except FileError as error:
        print(f"endivectl: {error}", file=sys.stderr)
        sys.exit(ExitCode.BAD_INPUT)
    except ApiError as error:
        print(error_lines(error), file=sys.stderr)
        sys.exit(EXIT_CODES.get(error.kind, ExitCode.REFUSED))
    except KeyboardInterrupt:
        sys.exit(ExitCode.DONE)


if __name__ == "__main__":
    main()
