"""Settings of a node, read from TOML and validated by pydantic models.

Every setting has a unit in its name or its description and a default that
docs/OPERATIONS.md lists.
"""

import tomllib
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Annotated, get_args

from endive_core.claims import CLAIM_WINDOW_S
from endive_core.exceptions import SettingsError
from endive_core.policy import Policy
from endive_core.resources import NAME_PATTERN, SHA256_HEX
from pydantic import BaseModel, ConfigDict, Field, ValidationError, create_model

Name = Annotated[str, Field(pattern=NAME_PATTERN.pattern)]
Port = Annotated[int, Field(ge=0, le=65535)]
Url = Annotated[str, Field(pattern=r"^http://\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


def _policy_section() -> type[_Section]:
    """Return the model that validates the parameters of :class:`Policy`."""
    checked = {}
    for parameter in fields(Policy):
        declared = Field(
            parameter.default,
            description=parameter.metadata["description"],
            **parameter.metadata["bounds"],
        )
        checked[parameter.name] = (parameter.type, declared)
    return create_model("PolicySection", __base__=_Section, **checked)


PolicySection = _policy_section()


class NodeSection(_Section):
    """Identity, zone and ports of this node."""

    id: Name = Field(description="name of this node, unique among all nodes")
    zone: Name = Field(description="availability zone of this node")
    region: Name = Field("local", description="region of the zone")
    address: str = Field("127.0.0.1", description="IP address it listens on")
    caller_port: Port = Field(8080, description="port for callers; 0 picks a free one")
    operator_port: Port = Field(
        8081, description="port for operators; 0 picks a free one"
    )
    peer_port: Port = Field(8082, description="TCP port for other nodes")
    gossip_port: Port = Field(8083, description="UDP port for heartbeats")
    drain_settle_s: float = Field(
        2.0,
        ge=0,
        description="time after SIGTERM in which /healthz responds 503 but calls "
        "are still accepted, seconds; at least two health checks of the "
        "load balancer",
    )


class PlatformSection(_Section):
    """Addresses of the platform's services."""

    log: Url = Field(description="address of the log")
    instances: Url | None = Field(None, description="address of the instance list")
    cloud: Url | None = Field(None, description="address of the cloud API")
    weights: Url | None = Field(None, description="address of the weight store")
    timeout_s: float = Field(2.0, gt=0, description="time-out of one call, seconds")
    notice_poll_s: float = Field(
        0.5, gt=0, description="interval between polls for reclaim notices, seconds"
    )


class PeerEntry(_Section):
    """A node that is contacted before any heartbeat was received."""

    id: Name = Field(description="the peer's id")
    zone: Name = Field(description="the peer's zone")
    peer_address: str = Field(description="IP:port of its TCP peer listener")
    gossip_address: str = Field(description="IP:port of its UDP heartbeat listener")


class OperatorEntry(_Section):
    """One operator's token and the organisation whose resources it may access."""

    name: Name = Field(description="operator's name, written into each change")
    token_hash: str = Field(
        pattern=SHA256_HEX.pattern, description="SHA-256 of the token, hex"
    )
    organisation: str = Field(
        description="organisation whose resources the operator may read and change; "
        "* for all"
    )


class LimitsSection(_Section):
    """Limits for one call and for the requests that a node keeps."""

    max_body_bytes: int = Field(
        4_000_000, ge=1, description="largest body a caller may send, bytes"
    )
    max_header_bytes: int = Field(
        65_536, ge=1_024, description="largest head of a call, bytes"
    )
    memory_mb: float = Field(
        0.0,
        ge=0,
        description="memory that the process may take, millions of bytes; the calls "
        "that it holds are bounded by it; 0 for half of the machine's memory",
    )
    max_attempts: int = Field(
        4, ge=1, le=20, description="attempts at backend servers for one request"
    )
    keep_finished_s: float = Field(
        30.0,
        ge=0,
        description="time for which a finished response can be fetched, seconds",
    )
    explained_requests: int = Field(
        5000,
        ge=0,
        description="latest requests whose traces are kept for `endivectl explain`",
    )


class BackendSection(_Section):
    """Time-outs and polling rates for backend servers."""

    connect_timeout_s: float = Field(0.5, gt=0, description="time to connect, seconds")
    stall_timeout_s: float = Field(
        10.0, gt=0, description="longest time without data during a response, seconds"
    )
    report_poll_s: float = Field(
        0.5,
        gt=0,
        description="interval between polls of a server's load report, seconds",
    )
    max_report_polls_per_s: float = Field(
        50.0,
        gt=0,
        description="load reports polled a second, over all servers, at most",
    )


class ClaimsSection(_Section):
    """Claims of non-idempotent requests in the log."""

    window_s: float = Field(
        CLAIM_WINDOW_S,
        gt=0,
        description="time for which a claim holds its key, seconds; below the log's "
        "retention, and the same on all nodes",
    )
    appends_per_s: float = Field(
        200.0, gt=0, description="claim appends to the log a second, all nodes together"
    )
    timeout_s: float = Field(
        2.0, gt=0, description="longest wait for the log's decision, seconds"
    )
    peer_timeout_s: float = Field(
        0.7,
        gt=0,
        description="longest wait for the node that writes a claim shard, seconds",
    )


class ConfigurationSection(_Section):
    """Snapshots of the configuration in the log."""

    snapshot_every_s: float = Field(
        3600.0,
        gt=0,
        description="greatest age of the newest snapshot while the configuration "
        "changes, seconds; keep it well below the log's retention",
    )
    snapshot_every_records: int = Field(
        1000,
        ge=1,
        description="records after which a snapshot is written before that age",
    )


class MembershipSection(_Section):
    """Heartbeats and failure detection between nodes."""

    datagrams_per_s: float = Field(
        3.0,
        gt=0,
        le=50,
        description="heartbeats that a node sends a second, each to one other node",
    )
    suspect_after_s: float = Field(
        8.0,
        gt=0,
        description="time without a heartbeat after which a member gets no work, "
        "seconds",
    )
    remove_after_s: float = Field(
        24.0,
        gt=0,
        description="time without a heartbeat after which a member is removed, seconds",
    )


class Settings(_Section):
    """All settings of one node."""

    node: NodeSection
    platform: PlatformSection
    peers: tuple[PeerEntry, ...] = ()
    operators: tuple[OperatorEntry, ...] = ()
    limits: LimitsSection = LimitsSection()
    backends: BackendSection = BackendSection()
    claims: ClaimsSection = ClaimsSection()
    configuration: ConfigurationSection = ConfigurationSection()
    membership: MembershipSection = MembershipSection()
    policy: PolicySection = PolicySection()

    @classmethod
    def from_file(cls, path: str | Path) -> "Settings":
        """Read and validate the settings in the TOML file at `path`.

        Raises
        ------
        SettingsError
            If the file can't be read or a setting is not valid. The message is one
            line with the key, the value found and what is allowed.
        """
        try:
            value = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        except OSError as error:
            raise SettingsError(f"{path}: {error.strerror}") from None
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            raise SettingsError(f"{path}: not TOML: {error}") from None
        return cls.from_config(value, source=str(path))

    @classmethod
    def from_config(cls, value: dict, *, source: str = "settings") -> "Settings":
        """Validate a decoded settings table; see :meth:`from_file`."""
        try:
            return cls.model_validate(value)
        except ValidationError as error:
            raise SettingsError(f"{source}: {_first_error(error)}") from None


def _first_error(error: ValidationError) -> str:
    entry = error.errors(include_url=False)[0]
    key = ".".join(str(part) for part in entry["loc"])
    if entry["type"] == "missing":
        return f"{key}: found nothing, allowed: a value is required"
    if entry["type"] == "extra_forbidden":
        return f"{key}: found an unknown key, allowed: see docs/OPERATIONS.md"
    found = str(entry.get("input")).replace("\n", " ")[:80]
    return f"{key}: found {found!r}, allowed: {entry['msg']}"


@dataclass(frozen=True)
class SettingRow:
    """One setting, as listed in docs/OPERATIONS.md."""

    key: str
    default: str
    description: str


def setting_rows(
    model: type[BaseModel] = Settings, prefix: str = ""
) -> list[SettingRow]:
    """Return every setting with its default and description, in order.

    In the key of a setting whose table may be repeated, ``[]`` follows the table.
    """
    rows = []
    for name, field in model.model_fields.items():
        section, repeated = _section_of(field.annotation)
        if section is not None:
            marker = "[]." if repeated else "."
            rows += setting_rows(section, prefix + name + marker)
        else:
            default = (
                "required" if field.is_required() else _format_default(field.default)
            )
            rows.append(SettingRow(prefix + name, default, field.description or ""))
    return rows


def _section_of(annotation) -> tuple[type[BaseModel] | None, bool]:
    """Return the model of a field's type, if any, and whether its table repeats."""
    candidates = [annotation, *get_args(annotation)]
    for candidate in candidates:
        if isinstance(candidate, type) and issubclass(candidate, BaseModel):
            return candidate, candidate is not annotation
    return None, False


def _format_default(default) -> str:
    return "none" if default is None else f"`{default}`"
