"""Starts the emulators of a complete deployment in one process."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ploverhatch.emulator.backend import BackendBehaviour, BackendEmulator
from ploverhatch.emulator.platform import PlatformEmulator
from ploverhatch.settings.deployment import Deployment, UpstreamSection
from ploverhatch.state.configuration import KIND_POLICY, KIND_SERVER

LOOPBACK = "127.0.0.1"


@dataclass
class EmulatedDeployment:
    """The emulated platform and back ends of a deployment."""

    deployment: Deployment
    platform: PlatformEmulator
    backends: dict[str, BackendEmulator]

    def close(self) -> None:
        """Stop all emulators."""
        for backend in self.backends.values():
            backend.close()
        self.platform.close()


def policy_source(deployment: Deployment, directory: Path) -> str:
    """Return the text of the policy file.

    :param directory: directory of the deployment file; the policy file's path is relative to it.
    """
    return (directory / deployment.policy_file).read_text(encoding="utf-8")


def behaviour_of(upstream: UpstreamSection) -> BackendBehaviour:
    """Return the behaviour of the emulators of an upstream."""
    return BackendBehaviour(
        slots=upstream.slots,
        service_ms=upstream.service_ms,
        probe_ms=upstream.probe_ms,
    )


def server_body(upstream: UpstreamSection, zone: str, port: int) -> dict[str, Any]:
    """Return the body of the configuration object of a server."""
    return {
        "host": LOOPBACK,
        "port": port,
        "zone": zone,
        "slots": upstream.slots,
        "connections": upstream.connections,
        "labels": upstream.labels,
    }


def start_deployment(deployment: Deployment, directory: Path) -> EmulatedDeployment:
    """Start emulators on free ports and store the configuration."""
    platform = PlatformEmulator((LOOPBACK, 0))
    backends: dict[str, BackendEmulator] = {}
    store = platform.store
    for upstream in deployment.upstream:
        for number in range(upstream.count):
            name = f"{upstream.name}-{number + 1}"
            zone = deployment.zones[number % len(deployment.zones)]
            backend = BackendEmulator(name, (LOOPBACK, 0), behaviour_of(upstream))
            backends[name] = backend
            body = server_body(upstream, zone, backend.port)
            store.change(KIND_SERVER, name, 0, {"body": body}, deleted=False)
            platform.set_machine(name, LOOPBACK, backend.port, "live")
    source = policy_source(deployment, directory)
    store.change(KIND_POLICY, "main", 0, {"body": {"source": source}}, deleted=False)
    return EmulatedDeployment(deployment, platform, backends)
