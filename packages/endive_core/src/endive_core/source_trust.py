"""Which servers delay the requests that fetch cached prompt parts from them.

A source may be dead, silent or behind a congested link, or its address may belong to
another server by now. Its destination does not tell; the request's first token comes
late. The delay of each fetched request beyond its prediction is therefore compared
with that of requests that fetched nothing, and a source that delays is not named for a
while.
"""

from dataclasses import dataclass, field

SMOOTHING = 0.05
"""Weight of the newest delay of unfetched requests: about the last twenty count."""

SOURCE_SMOOTHING = 0.3
"""Weight of a source's newest delay; a node fetches rarely from each."""

DEVIATIONS = 3.0
"""Mean deviations of unfetched requests' delays by which a delay must exceed theirs to
count against a source."""

MIN_COUNTED_SHARE = 0.05
MAX_DELAY_SHARE = 0.5
"""Shares of a request's target: below the first a delay is never counted, the second
alone pauses the source. Smaller delays in a row add up to it."""

FIRST_PAUSE_S = 4.0
MAX_PAUSE_S = 30.0
"""Time for which a source is not named: first, doubled each time, and longest, seconds.
The first is longer than the interval of state messages among 375 nodes, 3.75 s, so that
the others hear of it, and than the time until the entry of a dead server lapses."""

MIN_REPORTERS = 2
"""Other nodes that must report a source for it not to be named here: each of hundreds
of nodes takes the noise of a destination for a delay of its source now and then."""


@dataclass(slots=True)
class SourceRecord:
    """What is known of one source.

    Attributes
    ----------
    suspicion : float
        Delays in a row over the delay that pauses a source.
    pauses : int
        Pauses since the last fetch without a delay.
    paused_until : float
        Clock time, seconds.
    delay_s : float
        Smoothed delay of the requests that named it, seconds; negative if they came
        earlier than others. Only its mean is free of the noise of their destinations.
    due : dict of object to float
        Requests that named it and await their first token, with the clock time at
        which that puts the source under suspicion.
    """

    suspicion: float = 0.0
    pauses: int = 0
    paused_until: float = float("-inf")
    delay_s: float = 0.0
    due: dict[object, float] = field(default_factory=dict)


class SourceTrust:
    """The sources of one service as this node's requests find them.

    Attributes
    ----------
    reports : dict of str to dict of str to float
        By source, the other nodes that don't name it, with the clock time until which
        their reports count; only the `MIN_REPORTERS` whose reports count longest.
    """

    def __init__(self) -> None:
        self.sources: dict[str, SourceRecord] = {}
        self.reports: dict[str, dict[str, float]] = {}
        self.usual_s = 0.0
        self.deviation_s = 0.0
        self.samples = 0

    def learn_unfetched(self, delay_s: float) -> None:
        """Add the time by which a request without a fetch exceeded its prediction."""
        self.samples += 1
        weight = max(SMOOTHING, 1 / self.samples)
        deviation_s = abs(delay_s - self.usual_s)
        self.usual_s += weight * (delay_s - self.usual_s)
        self.deviation_s += weight * (deviation_s - self.deviation_s)

    @property
    def unusual_s(self) -> float:
        """Delay beyond a prediction that few requests without a fetch have, seconds."""
        return self.usual_s + DEVIATIONS * self.deviation_s

    def may_name(self, source: str, now: float) -> bool:
        """Return whether a request may name `source` now."""
        if self.left_s(source, now) > 0:
            return False
        reports = self.reports.get(source)
        if not reports:
            return True
        return sum(now < until for until in reports.values()) < MIN_REPORTERS

    def left_s(self, source: str, now: float) -> float:
        """Return for how long this node's own requests forbid a source, seconds."""
        record = self.sources.get(source)
        if record is None:
            return 0.0
        if any(now >= due_at for due_at in record.due.values()):
            return max(FIRST_PAUSE_S, record.paused_until - now)
        return max(0.0, record.paused_until - now)

    def report(self, source: str, node: str, until: float) -> None:
        """Record that another node doesn't name a source until a clock time."""
        reports = self.reports.setdefault(source, {})
        reports[node] = until
        if len(reports) > MIN_REPORTERS:
            del reports[min(reports, key=reports.__getitem__)]

    def expected_delay_s(self, source: str) -> float:
        """Return the delay to expect of a request that names `source`, seconds."""
        record = self.sources.get(source)
        return max(0.0, record.delay_s) if record else 0.0

    def awaits(self, source: str, request: object) -> bool:
        """Return whether `request` names a source and has no first token yet."""
        record = self.sources.get(source)
        return record is not None and request in record.due

    def begin(self, source: str, request: object, due_at: float) -> None:
        """Record that `request` names a source and is to begin by `due_at`."""
        self.sources.setdefault(source, SourceRecord()).due[request] = due_at

    def end(self, source: str, request: object) -> None:
        """Forget a request that named a source; nothing is learned from it."""
        record = self.sources.get(source)
        if record is not None:
            record.due.pop(request, None)

    def started(
        self, source: str, request: object, delay_s: float, target_s: float, now: float
    ) -> bool:
        """Learn from a fetched request's first token; return whether it paused.

        Parameters
        ----------
        delay_s : float
            Time by which the first token exceeded its prediction, seconds.
        """
        self.end(source, request)
        record = self.sources.setdefault(source, SourceRecord())
        excess_s = delay_s - self.usual_s
        late_s = max(-target_s, min(excess_s, target_s))
        record.delay_s += SOURCE_SMOOTHING * (late_s - record.delay_s)
        counted_s = max(
            MIN_COUNTED_SHARE * target_s, DEVIATIONS * max(0.0, self.deviation_s)
        )
        if excess_s <= counted_s:
            record.suspicion, record.pauses = 0.0, 0
            return False
        record.suspicion += excess_s / (MAX_DELAY_SHARE * target_s)
        if record.suspicion < 1.0:
            return False
        self._pause(record, now)
        return True

    def failed(self, source: str, request: object, now: float) -> None:
        """Pause a source, since a request that named it failed or hung."""
        self.end(source, request)
        self._pause(self.sources.setdefault(source, SourceRecord()), now)

    def _pause(self, record: SourceRecord, now: float) -> None:
        if now < record.paused_until:
            return  # one of several requests that were under way together
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(record.pauses, 16))
        record.pauses += 1
        record.suspicion = 0.0
        record.delay_s = 0.0
        record.paused_until = now + pause_s

    def paused(self, now: float) -> list[str]:
        """Return the sources that are not named now."""
        return [source for source in self.sources if not self.may_name(source, now)]

    def keep(self, sources: set[str]) -> None:
        """Forget all sources but `sources`."""
        for known in (self.sources, self.reports):
            for gone in known.keys() - sources:
                del known[gone]
