"""Typed settings of a node. Units are part of the names.

Port 0 lets the system choose a port; the node prints its ports when it is ready.
"""

from pydantic import BaseModel, ConfigDict, Field


class Section(BaseModel):
    """A table of the settings file; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class NodeSection(Section):
    """Identity of the node, and the addresses it listens on."""

    name: str = Field(min_length=1, max_length=64)
    zone: str = Field(min_length=1, max_length=64)
    host: str = "127.0.0.1"
    port: int = Field(default=0, ge=0, le=65535)
    http_port: int = Field(default=0, ge=0, le=65535)
    admin_port: int = Field(default=0, ge=0, le=65535)


class CellSection(Section):
    """The cell this node belongs to."""

    name: str = "cell-0"
    seeds: tuple[str, ...] = ()  # host:port of nodes to contact at start
    voters: int = Field(default=3, ge=1, le=7)
    children: int = Field(default=16, ge=1, le=256)  # observers that a node sends updates to


class PlatformSection(Section):
    """The platform's object API."""

    url: str = Field(pattern=r"^http://[^/]+$")
    timeout_ms: int = Field(default=2000, ge=50, le=60_000)
    watch_ms: int = Field(default=2000, ge=50, le=60_000)
    machines_ms: int = Field(default=500, ge=50, le=60_000)


class LimitsSection(Section):
    """Bounds on the resources that callers may use."""

    body_bytes: int = Field(default=1 << 20, ge=0, le=64 << 20)
    queue_per_server: int = Field(default=256, ge=1, le=100_000)
    retry_budget_percent: int = Field(default=20, ge=0, le=100)
    attempts: int = Field(default=8, ge=1, le=100)
    kept_answer_bytes: int = Field(default=4096, ge=0, le=1 << 20)


class TimingSection(Section):
    """Intervals of the control protocols."""

    lease_ms: float = Field(default=1200, ge=100, le=60_000)
    renew_ms: float = Field(default=300, ge=10, le=20_000)
    election_ms: float = Field(default=500, ge=50, le=20_000)
    heartbeat_ms: float = Field(default=100, ge=5, le=5_000)
    status_ms: float = Field(default=500, ge=50, le=10_000)
    record_retention_ms: float = Field(default=900_000, ge=60_000, le=86_400_000)
    repeat_window_ms: float = Field(default=60_000, ge=1_000, le=86_400_000)
    drain_limit_ms: float = Field(default=10_000, ge=0, le=600_000)
    drain_linger_ms: float = Field(default=500, ge=0, le=60_000)


class AdminSection(Section):
    """Access of operators. Each line of the file is ``ROLE TOKEN``."""

    tokens_file: str = ""


class Settings(Section):
    """All settings of one node."""

    node: NodeSection
    platform: PlatformSection
    cell: CellSection = CellSection()
    limits: LimitsSection = LimitsSection()
    timing: TimingSection = TimingSection()
    admin: AdminSection = AdminSection()
