"""Count the tokens recomputed when a server is lost during streams, in three cases.

Streams are moved after a notice of 3 s, resumed from the tokens so far after a kill
without notice, or, as the baseline, restarted without them directly at another server.
"""

import sys
import tempfile
import threading
import time
from pathlib import Path

HERE = Path(__file__).parent
sys.path.insert(0, str(HERE.parent / "tests"))

import builders  # noqa: E402
import urllib3  # noqa: E402
from test_moving import PADDING, SLOW, recomputed_after_reclaim  # noqa: E402

STREAMS = 8
"""Streams at the killed server. In the other two cases 16 streams are spread over two
servers, so that one holds as many."""

MAX_TOKENS = 160
SECONDS_BEFORE_KILL = 2.0


class DirectStream(threading.Thread):
    """A caller that streams directly from a server and counts the tokens received."""

    def __init__(self, server: builders.Service, number: int, attempt: int) -> None:
        super().__init__(daemon=True)
        self.url = f"{server.url}/v1/completions"
        self.body = {
            "prompt": f"direct {number}" + " pad" * PADDING,
            "max_tokens": MAX_TOKENS,
            "stream": True,
            "request_id": f"direct-{number}",
            "attempt": attempt,
        }
        self.tokens = 0

    def run(self) -> None:
        """Read until the response ends or the connection breaks."""
        answer = builders.call("POST", self.url, self.body, preload_content=False)
        try:
            for data in answer.stream(65536, decode_content=False):
                self.tokens += data.count(b'"choices"')
        except urllib3.exceptions.HTTPError:
            pass


def measure_restart(folder: Path) -> int:
    """Return the tokens recomputed by a second server that restarts the streams."""
    cluster = builders.Cluster(folder)
    try:
        first, second = (cluster.engine(f"engine-{i}", **SLOW) for i in range(2))
        for server in (first, second):
            builders.wait_until(server.is_ready, server.name)
        interrupted = stream_all(first, attempt=0, kill_after_s=SECONDS_BEFORE_KILL)
        stream_all(second, attempt=1)
        missing = sum(MAX_TOKENS - tokens for tokens in interrupted)
        return second.stats()["computed_tokens"] - missing
    finally:
        cluster.stop()


def stream_all(
    server: builders.Service, *, attempt: int, kill_after_s: float | None = None
) -> list[int]:
    """Run the streams until they end or the server is killed; return their tokens."""
    streams = [DirectStream(server, n, attempt) for n in range(STREAMS)]
    for stream in streams:
        stream.start()
    if kill_after_s is not None:
        time.sleep(kill_after_s)
        server.kill()
    for stream in streams:
        stream.join()
    return [stream.tokens for stream in streams]


def main() -> None:
    """Print the recomputed tokens of each case."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for case in ("moved", "resumed", "nothing"):
            (folder / case).mkdir()
        moved, exported = recomputed_after_reclaim(folder / "moved", 3.0)
        resumed, _ = recomputed_after_reclaim(folder / "resumed", 0)
        nothing = measure_restart(folder / "nothing")
    print(f"moved with a notice of 3 s:      {moved:6} tokens, {exported:.0f} exports")
    print(f"killed, resumed by the tokens:   {resumed:6} tokens")
    print(f"killed, started from nothing:    {nothing:6} tokens")


if __name__ == "__main__":
    main()
