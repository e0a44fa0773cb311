"""A whole stand-in site: store, upstreams whose keys are judged, real gateways."""

import itertools
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from gevent import socket

from ploverhatch.gateway.messages import CallerReply
from ploverhatch.sharding.messages import CallOutcome
from ploverhatch.simulation.keys.server import Journal, SimKeyServer
from tests.standin.metadata_store import StoreServer
from tests.standin.upstream import Upstream

KEYED, PLAIN = "keyed", "plain"


def free_port():
    """Return a port that is free for TCP and UDP, and stays so until it is bound.

    A port that the system proposes may be taken meanwhile by an outgoing connection
    of any process; these come from its own range, so a lower one is taken here.
    """
    while True:
        port = next(_PORTS)
        if all(_is_free(port, kind) for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)):
            return port


def _is_free(port, kind):
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


# Parallel test processes begin at different places.
_FIRST_PORT, _PORT_COUNT = 12_000, 16_000
_PORTS = (_FIRST_PORT + (os.getpid() * 1009 + number) % _PORT_COUNT for number in itertools.count())


def route(name, service):
    return {
        "name": name,
        "path_prefix": f"/{name}/",
        "kind": "unsafe",
        "timeout_ms": 2000,
        "target_latency_ms": 1000,
        "max_attempts": 2,
        "priority": 0,
        "service": service,
    }


def configuration(version):
    return {
        "version": f"{version:08x}",
        "services": [
            {"name": KEYED, "max_connections": 100, "sharded": True},
            {"name": PLAIN, "max_connections": 100},
        ],
        "virtual_hosts": [
            {"host": "h.example", "route_paths": [route("k", KEYED), route("p", PLAIN)]}
        ],
    }


class RealTime:
    """The time of a key server that runs for real; nothing is scheduled."""

    @property
    def now_ms(self):
        return time.monotonic() * 1000


class JudgedUpstream(Upstream):
    """An upstream whose keys are followed by the simulation's key server."""

    def __init__(self, server_id, journal):
        self.keys = SimKeyServer(RealTime(), journal, server_id, 0, drift=1.0)
        super().__init__(server_id, sharded=True)

    def _grant(self, call):
        outcome = self.keys.grant(
            call["from"], call["target_version"], call["fence"], call["hold_ms"]
        )
        return CallerReply(200 if outcome is CallOutcome.DONE else 409)

    def _release(self, call):
        self.keys.release(call["from"], call["target_version"], call["fence"], lambda: None)
        return CallerReply(200, [(b"Handover", b"h")])

    def _holds(self, key):
        hold = self.keys.holding(key)
        if hold is None:
            return False
        hold.starts_ms.append(self.keys.world.now_ms)
        return True

    def end(self):
        """End as a crash would."""
        self.close()
        self.keys.crash()


class GatewayProcess:
    """A real gateway process; it is started again when it was killed."""

    def __init__(self, name, store, folder):
        self.name = name
        self.front = free_port()
        self.ready = free_port()
        self.path = Path(folder) / f"{name}.toml"
        self.log = Path(folder) / f"{name}.log"
        self.path.write_text(
            f"""
[self_node]
node = "{name}"
ip = "127.0.0.1"
zone = "z1"
[network]
internal_ports = [{free_port()}, {free_port()}]
[network.listen_addrs]
front = "127.0.0.1:{self.front}"
ready = "127.0.0.1:{self.ready}"
[platform.platform]
address = "{store.host}:{store.port}"
"""
        )
        self.process = None
        self.start()

    def start(self):
        environment = {**os.environ, "PLOVERHATCH_NODE_FILE": str(self.path)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "ploverhatch.cli.platform_gateway"],
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()


class StandinSite:
    """Everything of one site on loopback."""

    def __init__(self, gateways=3, keyed=4, plain=2):
        self.server = StoreServer()
        self.store = self.server.store
        self.journal = Journal()
        self.upstreams = {}
        self.lives = 0
        self.version = 1
        self.folder = tempfile.TemporaryDirectory()
        self.store.put("config", "main", configuration(self.version))
        for _ in range(keyed):
            self.start_upstream(KEYED)
        for _ in range(plain):
            self.start_upstream(PLAIN)
        self.gateways = [
            GatewayProcess(f"node-{number}", self.server.address, self.folder.name)
            for number in range(gateways)
        ]

    def start_upstream(self, service):
        self.lives += 1
        name = f"life-{self.lives}"
        upstream = JudgedUpstream(name, self.journal) if service == KEYED else Upstream(name)
        upstream.service = service
        upstream.behaviour.work_s = 0.01
        self.upstreams[name] = upstream
        self.store.put("servers", name, *upstream.record(service))
        return upstream

    def ran(self):
        """Return the ids that upstreams ran, with the life that did."""
        return [
            (dict((k.lower(), v) for k, v in request.headers)[b"request-id"].decode(), life)
            for life, upstream in self.upstreams.items()
            for request in upstream.ran
        ]

    def close(self):
        for gateway in self.gateways:
            gateway.end()
        for upstream in self.upstreams.values():
            upstream.close()
        self.server.close()
        self.folder.cleanup()
