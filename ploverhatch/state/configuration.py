"""Configuration objects copied from the platform, at one generation."""

import json
from dataclasses import dataclass, field
from typing import Any

from ploverhatch.transport import wire

KIND_POLICY = "policy"
KIND_SERVER = "server"
KIND_KEY_LABELS = "key-labels"


@dataclass(frozen=True)
class ServerSpec:
    """Configuration of one back end."""

    name: str
    host: str
    port: int
    zone: str
    slots: int
    connections: int
    labels: dict[str, str]
    drain: bool

    @property
    def selector_labels(self) -> dict[str, str]:
        """Labels that selectors match: the configured ones and the zone."""
        return {"zone": self.zone, **self.labels}


def parse_server(name: str, body: dict[str, Any]) -> ServerSpec:
    """Parse a server object; absent fields take their defaults."""
    return ServerSpec(
        name=name,
        host=body.get("host", "127.0.0.1"),
        port=int(body.get("port", 0)),
        zone=body.get("zone", ""),
        slots=int(body.get("slots", 1)),
        connections=int(body.get("connections", 100)),
        labels=dict(body.get("labels", {})),
        drain=bool(body.get("drain", False)),
    )


@dataclass
class ConfigurationState:
    """Configuration objects by (kind, name); the generation never decreases."""

    generation: int = 0
    objects: dict[tuple[str, str], wire.ObjectChange] = field(default_factory=dict)
    _servers: dict[str, ServerSpec] = field(default_factory=dict)

    def apply(self, change: wire.ConfigurationChange) -> bool:
        """Apply a change and return whether its generation is newer; an older one is ignored."""
        if change.generation <= self.generation:
            return False
        if change.replace:
            self.objects.clear()
            self._servers.clear()
        for item in change.objects:
            self.put(item)
        self.generation = change.generation
        return True

    def put(self, item: wire.ObjectChange) -> None:
        """Store or remove one object; a server is parsed once, when it is stored."""
        identity = (item.kind, item.name)
        if item.deleted:
            self.objects.pop(identity, None)
            if item.kind == KIND_SERVER:
                self._servers.pop(item.name, None)
            return
        self.objects[identity] = item
        if item.kind == KIND_SERVER:
            self._servers[item.name] = parse_server(item.name, json.loads(item.body))

    def policy_source(self) -> str:
        """Return the source of the policy; empty where none is configured."""
        item = self.objects.get((KIND_POLICY, "main"))
        if item is None:
            return ""
        return str(json.loads(item.body).get("source", ""))

    def servers(self) -> dict[str, ServerSpec]:
        """Return the configured back ends by name."""
        return dict(self._servers)

    def key_labels(self, group: str) -> dict[str, dict[str, str]]:
        """Return the labels of one group's keys, by key."""
        item = self.objects.get((KIND_KEY_LABELS, group))
        if item is None:
            return {}
        return dict(json.loads(item.body).get("keys", {}))
