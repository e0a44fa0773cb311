"""Translates objects of the platform into the types of the gateway.

This module does no I/O and reads no clock.
"""

import socket
from typing import Annotated, Literal

import msgspec
from msgspec import Meta
from typing_extensions import override

from ploverhatch.common.logs import PartLogger
from ploverhatch.gateway.translation import Translation
from ploverhatch.platform import names
from ploverhatch.routing.route_table import (
    ClientLimits,
    Route,
    RouteTable,
    Service,
    ServiceShare,
)
from ploverhatch.state.incarnations import incarnation_id
from ploverhatch.state.servers import ServerRecord
from ploverhatch.store.objects import VersionedObject
from ploverhatch.transport.http_connection import HostPort

LOG = PartLogger("platform")

MAX_PORT = 65_535
MAX_SLOTS = 100_000  # no server can use more: an entry with a higher number is malformed
MAX_COLD_MS = 3_600_000.0


class DocumentError(ValueError):
    """An object of the platform does not have the form that its protocol defines."""


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    path_prefix: str
    kind: str
    timeout_ms: float
    max_attempts: int
    target_latency_ms: float = 1000.0
    priority: int = 0
    service: str = ""
    weighted_split: list[_Split] = msgspec.field(default_factory=list)
    allowed_regions: list[str] = msgspec.field(default_factory=list)


class _VirtualHost(msgspec.Struct):
    host: str
    route_paths: list[_Route]


class _Service(msgspec.Struct):
    name: str
    max_connections: int = 100
    sharded: bool = False
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Configuration(msgspec.Struct):
    version: str
    services: list[_Service]
    virtual_hosts: list[_VirtualHost]
    limits: _Limits = msgspec.field(default_factory=_Limits)


# An entry may come from a foreign writer. Each field that the protocol names must be present and
# of the right type: an entry completed with default values would receive requests.
class _ServerInfo(msgspec.Struct):
    service: Annotated[str, Meta(min_length=1)]
    version: str
    zone: str
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]


class _ServerStatus(msgspec.Struct):
    state: Literal["ready", "draining"]
    cold_remaining_ms: Annotated[float, Meta(ge=0, le=MAX_COLD_MS)]
    call_seq: int


class _Server(msgspec.Struct):
    address: str
    info: _ServerInfo
    status: _ServerStatus
    born: Annotated[int, Meta(ge=0)] = 0


def route_table(spec: object) -> RouteTable:
    """Translate the configuration.

    :raises DocumentError: when the configuration is malformed.
    """
    try:
        document = msgspec.convert(spec, _Configuration, strict=False)
        version = int(document.version, 16)
    except ValueError as error:
        raise DocumentError(str(error)) from error
    limits = document.limits
    return RouteTable(
        version=version,
        hosts={
            entry.host.lower().encode(): tuple(_route(item) for item in entry.route_paths)
            for entry in document.virtual_hosts
        },
        services={
            item.name: Service(
                item.name,
                item.sharded,
                item.max_connections,
                item.cold_start_s * 1000,
                item.cold_per_s,
            )
            for item in document.services
        },
        limits=ClientLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_ms=limits.header_timeout_ms,
            idle_timeout_ms=limits.idle_timeout_ms,
        ),
    )


def _route(item: _Route) -> Route:
    shares = [ServiceShare(part.service, part.weight) for part in item.weighted_split]
    return Route(
        name=item.name,
        path_prefix=item.path_prefix.encode(),
        shares=tuple(shares) or (ServiceShare(item.service, 1.0),),
        repeatable=item.kind == names.KIND_SAFE,
        timeout_ms=item.timeout_ms,
        objective_ms=item.target_latency_ms,
        max_attempts=item.max_attempts,
        priority=item.priority,
        regions=frozenset(item.allowed_regions),
    )


def server_record(item: VersionedObject) -> ServerRecord:
    """Translate the entry of a server.

    :raises DocumentError: when the entry is malformed.
    """
    if not isinstance(item.spec, dict) or not isinstance(item.status, dict | None):
        raise DocumentError(f"{item.name}: spec or status is not an object")
    merged = dict(item.spec)
    if item.status is not None:
        merged["status"] = item.status
    try:
        document = msgspec.convert(merged, _Server)
        address = _address(document.address)
    except (ValueError, OverflowError) as error:
        raise DocumentError(f"{item.name}: {error}") from error
    return ServerRecord(
        server_id=incarnation_id(item.name, document.born),
        service=document.info.service,
        host=address.host,
        port=address.port,
        zone=document.info.zone,
        slots=document.info.slots,
        draining=document.status.state == names.STATE_DRAINING,
        warmup_ms=document.status.cold_remaining_ms,
    )


def _address(text: str) -> HostPort:
    """Read an IPv4 address and a port.

    :raises ValueError: when the text has another form.
    """
    address = HostPort.parse(text)
    try:
        socket.inet_pton(socket.AF_INET, address.host)
    except OSError as error:
        raise ValueError(f"not an IPv4 address: {text!r}") from error
    if not 0 < address.port <= MAX_PORT:
        raise ValueError(f"port out of range: {text!r}")
    return address


class PlatformTranslation(Translation):
    """Translates objects of the platform; logs a malformed object and returns ``None`` for it."""

    readiness_path = names.READINESS_PATH

    @override
    def configuration(self, item: VersionedObject) -> RouteTable | None:
        if item.name != names.CONFIG_NAME:
            return None
        try:
            return route_table(item.spec)
        except DocumentError as error:
            LOG.error("Configuration is malformed.", cause=error)
            return None

    @override
    def server(self, item: VersionedObject) -> ServerRecord | None:
        try:
            return server_record(item)
        except DocumentError as error:
            LOG.error("Server record is malformed.", cause=error)
            return None
