"""Starts gateways as the deploy file says, with the settings of a small deployment."""

import asyncio
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from review.parts.http import ask

ROOT = Path(__file__).resolve().parents[2]
CONTACT_S, CONFIG_APPLY_S, DRAIN_S, GRACE_S, LOSS_SLACK_S = 3.0, 2.0, 2.0, 6.0, 0.2
ZONES = ("z1", "z2", "z3")
SETTINGS = """grants = "call"
[self_node]
node = "{node}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "{zone}"
region = "r1"
fault_counted = false
bootstrap = true
[self_node.limits]
cpu_share = 0.86
cpu_cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
internal_ports = [{peer}, {peer}]
[network.listen_addrs]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[network.zones]
z1 = "r1"
z2 = "r1"
z3 = "r1"
[platform]
discovery = "platform"
entry = "vip"
heartbeat_ms = 1300
[platform.platform]
address = "127.0.0.1:{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[terms]
contracts = ["base","drain","config","cost","retry","recover","own","platform"]
[terms.bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = 56
recovery_s = 15
hold_max_ms = 10000
thaw_slack_ms = 300
"""


class CouldNotRunError(Exception):
    """The case couldn't run; says nothing of the rule."""


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP."""
    held, ports = [], []
    while len(ports) < count:
        stream = socket.socket()
        stream.bind(("127.0.0.1", 0))
        port = stream.getsockname()[1]
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [stream, datagrams]
        try:
            datagrams.bind(("127.0.0.1", port))
        except OSError:
            continue
        ports.append(port)
    for sock in held:
        sock.close()
    return ports


class Gateway:
    """One machine of the system."""

    def __init__(self, number: int, store_port: int, folder: Path) -> None:
        self.node, self.zone = f"front-{number}", ZONES[number % len(ZONES)]
        self.front, self.ready, self.peer = free_ports(3)
        self.settings = folder / f"{self.node}.toml"
        self.settings.write_text(
            SETTINGS.format(
                node=self.node,
                zone=self.zone,
                front=self.front,
                ready=self.ready,
                peer=self.peer,
                store=store_port,
            )
        )
        self.log = open(folder / f"{self.node}.log", "ab")  # noqa: SIM115
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PLOVERHATCH_NODE_FILE"] = str(self.settings)
        self.process = subprocess.Popen(
            deploy["roles"]["gateway"]["run"].split(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        answer = await ask(self.ready, "GET /ploverhatch/readiness HTTP/1.1", {"Host": "x"}, b"", 1)
        return answer is not None and answer.start[1] == "200"

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.log.close()


class Site:
    """A temporary folder, the gateways in it, and the record of the run."""

    def __init__(self, record: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.gateways: list[Gateway] = []
        self._record = open(record, "w")  # noqa: SIM115
        self._began = time.monotonic()
        # Also where the script is ended from outside, its processes end.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    def note(self, text: str, at: float | None = None) -> None:
        """Write a line, with seconds since the start."""
        at = time.monotonic() if at is None else at
        self._record.write(f"{at - self._began:8.3f}  {text}\n")

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self.note(text)
        print(text, flush=True)

    async def start(self, store_ports: list[int]) -> None:
        """Start one gateway for each port of the store, and wait until all are ready."""
        self.gateways = [Gateway(n, port, self.folder) for n, port in enumerate(store_ports)]
        for gateway in self.gateways:
            gateway.start()
        end = time.monotonic() + 30
        while not all([await gateway.is_ready() for gateway in self.gateways]):
            if time.monotonic() > end:
                raise CouldNotRunError("the gateways don't become ready")
            await asyncio.sleep(0.1)

    def close(self) -> None:
        for gateway in self.gateways:
            gateway.end()
        self._record.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def request_id() -> str:
    return secrets.token_hex(8)


def trouble() -> bool:
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"
