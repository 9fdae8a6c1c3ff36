"""The state message that gateways send each other, and its compressed changes."""

import zlib
from collections.abc import Iterable

import msgspec

from endive_gateway.decoding import decode_msgpack
from endive_gateway.exceptions import UndecodableError
from endive_gateway.interfaces import Record, ServerDelta
from endive_gateway.part_exchange import AnswerReport, CrashReport
from endive_gateway.quantities import (
    Age,
    Count,
    Figure,
    Name,
    Offset,
    OptionalCount,
    Quantity,
)
from endive_gateway.rollout_messages import RolloutReport

ValueReport = tuple[Name, Age | None, Age, int]
"""A server, what it states (``None`` if nothing any more), the age of that statement in
seconds, and its id."""

LevelReport = tuple[Figure, Figure, Figure]
OrganisationReport = tuple[Count, Name, Figure]
DemandReport = tuple[list[LevelReport], list[OrganisationReport]]
LateReport = list[tuple[Figure, Figure]]
WorkReport = list[Figure]
"""As in `endive_core`, with numbers in range."""


class StateMessage(msgspec.Struct, array_like=True):
    """State of a node, in totals rather than increments except for `server_delta`.

    Attributes
    ----------
    node : str
        The sender's name.
    incarnation : int
        Increases with each start of the sender.
    sequence : int
        Increases with each message of one incarnation.
    wall_ms : int
        The sender's wall-clock time, milliseconds since the epoch.
    version : int
        Version of the configuration in force at the sender; -1 if there is none.
    gone : bool
        Whether the sender has stopped and this is its last message.
    spent : dict of str to float
        Units of each organisation's limit spent since the sender's start.
    work : dict of str to float
        Servers of each service that the sender's requests keep busy.
    windows : dict of int to dict of str to int
        Requests begun, by usage window and organisation.
    crashes : list of (str, str, float)
        Fingerprint, server and age in seconds of recent crashes.
    fence : int
        Fencing number of the duties that the sender holds; 0 if it doesn't hold them.
    reported : int
        Newest usage window known to be reported.
    server_delta : ServerDelta or None
        Recent changes of the servers, if the sender is a reader.
    duty_log_end : int
        Newest end of the duties log that the sender knows.
    server_failures : dict of str to int
        Recent failures that the sender has observed, by server.
    age_s : float
        Seconds since the sender started.
    pending_prompt_tokens : dict of str to float
        Prompt tokens for which the sender still waits for a first token, by server.
    proof_age_s : float
        Seconds since `version` was confirmed as the store's newest; -1 if it never was.
    complete : bool
        Whether the sender knows the list of nodes and the servers, so that a starting
        node can take them from it.
    successes : list of (str, float)
        Fingerprint and age in seconds of complete responses by which crashes no longer
        count against a request.
    server_limits : list of (str, float or None, float, int)
        Server, its limit in requests a second (``None`` if it names none any more), the
        age of that statement in seconds, and its id.
    carried : int
        Connections to servers that the sender carries for other nodes; -1 if it
        carries none, for example because it reaches no server itself.
    brittle_servers : list of (str, float or None, float, int)
        Server, the rejections a second that it tolerates (``None`` if it is sound
        again), the age of that statement in seconds, and its id.
    rests : list of (str, float, str)
        Server that has asked the sender for rest, the rest of that time in seconds, and
        the IP address of the node through which it asked, or an empty one.
    shedding_servers : list of (str, float, int)
        Server to which several nodes send nothing at its request, the rest of that time
        in seconds, and the id of that statement.
    leaving_servers : list of (str, int, float)
        Server that has said that it leaves, its incarnation, and the age of that news
        in seconds.
    part_crashes : list of CrashReport
        Recent crashes by parts of prompts.
    part_answers : list of AnswerReport
        Answers that clear parts of such crashes.
    server_slowdowns : list of (str, float, float)
        Server, how long work takes there as a multiple of the usual time, and the age
        of that statement in seconds.
    zone : str
        The sender's availability zone. Empty at nodes of an earlier version, which keep
        no origins of streams.
    rollouts : RolloutReport or None
        Orders of rollouts, their stages and the sender's totals; ``None`` where no
        rollout may be ordered.
    slow_sources : list of (str, int, float)
        Server that the sender doesn't name as the source of fetches since they delay
        its requests, its incarnation, and the rest of that time in seconds.
    pools_slots : bool
        Whether the sender coordinates the slots of plain services with few of them.
    demand : dict of str to DemandReport
        The sender's demand for prefill of the services that admit by it.
    prompt_work : dict of str to list of int
        The sender's recent prefill work by length of the prompts, milliseconds, of the
        services where short prompts may overtake others.
    late_prompts : dict of str to LateReport
        The sender's prompts of these services that were sent as late; only services
        with any.
    records_origins : bool
        Whether the sender lists and records in the store where streams begin.
    """

    node: str
    incarnation: Count
    sequence: Count
    wall_ms: Count
    version: OptionalCount
    gone: bool
    spent: dict[str, Quantity]
    work: dict[str, Quantity]
    windows: dict[Count, dict[str, Count]]
    crashes: list[tuple[Name, Name, Age]]
    fence: Count
    reported: OptionalCount
    server_delta: ServerDelta | None = None
    duty_log_end: Count = 0
    server_failures: dict[str, Count] = {}
    age_s: Age = 0.0
    pending_prompt_tokens: dict[str, Quantity] = {}
    proof_age_s: Quantity = -1.0
    complete: bool = False
    proof: Count = 0
    successes: list[tuple[Name, Age]] = []
    server_limits: list[ValueReport] = []
    carried: OptionalCount = -1
    brittle_servers: list[ValueReport] = []
    rests: list[tuple[Name, Age, Name]] = []
    shedding_servers: list[tuple[Name, Age, int]] = []
    leaving_servers: list[tuple[Name, Count, Age]] = []
    zone: str = ""
    part_crashes: list[CrashReport] = []
    part_answers: list[AnswerReport] = []
    server_slowdowns: list[tuple[Name, Age, Age]] = []
    rollouts: RolloutReport | None = None
    slow_sources: list[tuple[Name, Count, Age]] = []
    pools_slots: bool = False
    demand: dict[str, DemandReport] = {}
    prompt_work: dict[str, WorkReport] = {}
    late_prompts: dict[str, LateReport] = {}
    records_origins: bool = False


DECODER = msgspec.msgpack.Decoder(StateMessage)

CHANGES_DECODER = msgspec.msgpack.Decoder(list[tuple[Offset, str, bytes | None]])
MAX_UNPACKED_BYTES = 1_000_000
"""Largest size of decompressed changes, bytes. Without a limit, a datagram of
compressed zeros could decompress to more memory than a node has."""


def pack_changes(records: Iterable[Record]) -> bytes:
    """Return `records` encoded and compressed; empty if there are none.

    Twenty servers' entries take 750 bytes instead of 4,500. Uncompressed, only four fit
    into a message: when a zone was reclaimed or servers were ordered, each of 87 nodes
    then had to read the store within a second.
    """
    changes = [(record.offset, record.key, record.value) for record in records]
    return zlib.compress(msgspec.msgpack.encode(changes)) if changes else b""


def unpack_changes(packed: bytes) -> list[Record]:
    """Return the records in `packed`.

    Raises
    ------
    UndecodableError
        If the data is corrupt. Data larger than ``MAX_UNPACKED_BYTES`` is truncated, so
        it can't be decoded either.
    """
    if not packed:
        return []
    try:
        data = zlib.decompressobj().decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise UndecodableError(str(error)) from None
    return [Record(*change) for change in decode_msgpack(data, CHANGES_DECODER)]
