"""Translates the platform's settings file into the settings of a gateway."""

import os
from typing import Annotated

import msgspec
from typing_extensions import override

from ploverhatch.admission.kind_shares import DEFAULT_LEAST_SHARE
from ploverhatch.gateway.settings import (
    MAX_CONNECTED,
    AdmissionSettings,
    GatewaySettings,
    SettingsError,
    SettingsSource,
)
from ploverhatch.transport.http_connection import HostPort


class SettingsFileError(SettingsError):
    """The settings file is missing, unreadable or invalid; the message states the cause."""


class _Limits(msgspec.Struct):
    max_fds: int = 4096
    cpu_share: float = 1.0
    cpu_cores: float = 1.0
    link_mbps: float = 1000.0
    memory_mb: float = 256.0


class _SelfNode(msgspec.Struct):
    node: str
    ip: str
    zone: str
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Network(msgspec.Struct):
    internal_ports: tuple[int, int]
    listen_addrs: _Listen
    zones: dict[str, str] = msgspec.field(default_factory=dict)


class _StoreSection(msgspec.Struct):
    address: str


class _PlatformSection(msgspec.Struct):
    platform: _StoreSection


class _Bounds(msgspec.Struct):
    drain_ms: float = 2000.0
    grace_s: float = 6.0
    config_apply_ms: float = 2000.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    retry_slack: float = 50.0
    hold_max_ms: float = 10_000.0
    evacuate_ms: float = 0.0


class _Placement(msgspec.Struct):
    learn_speeds: bool = True


class _Terms(msgspec.Struct):
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


class _Admission(msgspec.Struct):
    by_objective: bool = True
    least_share: float = DEFAULT_LEAST_SHARE


class _Connections(msgspec.Struct):
    # A datagram holds some hundreds of ids beside the request.
    max_told: Annotated[int, msgspec.Meta(ge=0, le=64)] = MAX_CONNECTED


class _SettingsFile(msgspec.Struct):
    self_node: _SelfNode
    network: _Network
    platform: _PlatformSection
    terms: _Terms = msgspec.field(default_factory=_Terms)
    admission: _Admission = msgspec.field(default_factory=_Admission)
    server_connections: _Connections = msgspec.field(default_factory=_Connections)
    placement: _Placement = msgspec.field(default_factory=_Placement)


def read_settings(path: str) -> GatewaySettings:
    """Read and check a settings file; unknown fields are ignored.

    :raises SettingsFileError: when the file can't be read, or a field is missing or invalid.
    """
    try:
        with open(path, "rb") as source:
            return parse_settings(source.read())
    except OSError as error:
        raise SettingsFileError(f"{path}: {error.strerror}") from error


def parse_settings(text: bytes) -> GatewaySettings:
    """Parse and check the text of a settings file.

    :raises SettingsFileError: when the text isn't TOML, or a field is missing or invalid.
    """
    try:
        file = msgspec.toml.decode(text, type=_SettingsFile)
        return _translate(file)
    except (ValueError, RecursionError, msgspec.DecodeError) as error:
        raise SettingsFileError(str(error)) from error


def _translate(file: _SettingsFile) -> GatewaySettings:
    bounds = file.terms.bounds
    limits = file.self_node.limits
    return GatewaySettings(
        node=file.self_node.node,
        zone=file.self_node.zone,
        ip=file.self_node.ip,
        callers=HostPort.parse(file.network.listen_addrs.front),
        readiness=HostPort.parse(file.network.listen_addrs.ready),
        peer_port=file.network.internal_ports[0],
        store=HostPort.parse(file.platform.platform.address),
        drain_ms=bounds.drain_ms,
        grace_s=bounds.grace_s,
        config_apply_ms=bounds.config_apply_ms,
        retry_ratio=bounds.retry_budget_ratio,
        retry_slack=bounds.retry_slack,
        retry_window_s=bounds.budget_window_s,
        lease_max_ms=bounds.hold_max_ms,
        evacuate_ms=bounds.evacuate_ms,
        zone_regions=file.network.zones,
        max_descriptors=limits.max_fds,
        cores=limits.cpu_share * limits.cpu_cores,
        link_mbps=limits.link_mbps,
        memory_mb=limits.memory_mb,
        admission=AdmissionSettings(file.admission.by_objective, file.admission.least_share),
        max_connected=file.server_connections.max_told,
        learn_speeds=file.placement.learn_speeds,
    )


class SettingsFile(SettingsSource):
    """Reads the settings file and detects changes to it, which may occur without a signal."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._last_state = self._file_state()

    def _file_state(self) -> tuple[float, int]:
        try:
            state = os.stat(self._path)
        except OSError:
            return (0.0, 0)
        return (state.st_mtime, state.st_size)

    @override
    def read(self) -> GatewaySettings:
        self._last_state = self._file_state()
        return read_settings(self._path)

    @override
    def changed(self) -> bool:
        return self._file_state() != self._last_state
