"""Starts gateways as separate processes, as deploy/system.toml says, beside the stand-ins."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from review.standins.http1 import ask

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = """
grants = "call"
[self_node]
node = "{node}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "{zone}"
region = "r1"
bootstrap = true
[self_node.limits]
cpu_share = 0.86
cpu_cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[network]
internal_ports = [{peer}, {peer}]
seed_nodes = []
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


def free_port():
    """Return a port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            tcp.bind(("127.0.0.1", 0))
            try:
                udp.bind(tcp.getsockname())
            except OSError:
                continue
            return tcp.getsockname()[1]


class Record:
    """The record of a script: what was sent, answered and run, with times."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._start_s = time.monotonic()

    def __call__(self, line):
        self._file.write(f"{time.monotonic() - self._start_s:9.3f} {line}\n")

    def close(self):
        self._file.close()


class Gateway:
    def __init__(self, number, store_port, folder, zone="z1"):
        self.node, self.zone = f"front-{zone}-{number}", zone
        self.front, self.ready, peer = free_port(), free_port(), free_port()
        self.settings = Path(folder) / f"{self.node}.toml"
        self.settings.write_text(
            SETTINGS.format(
                node=self.node,
                zone=zone,
                front=self.front,
                ready=self.ready,
                peer=peer,
                store=store_port,
            )
        )
        self.log = Path(folder) / f"{self.node}.log"
        self.process = None

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split(" ")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["PLOVERHATCH_NODE_FILE"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


async def until_ready(gateways, settle_s=3.0):
    """Wait until all gateways say that they are ready, and a little longer."""
    end_s = time.monotonic() + 20
    for gateway in gateways:
        while True:
            answer, _ = await ask(gateway.ready, "GET", "/ploverhatch/readiness", timeout_s=1.0)
            if answer is not None and answer.status == 200:
                break
            if time.monotonic() > end_s:
                raise RuntimeError(f"{gateway.node} isn't ready")
            await asyncio.sleep(0.2)
    await asyncio.sleep(settle_s)


ENDED_LAST = []  # other processes that a script starts; each has a method ``kill``


def run_script(main, folder):
    """Run a case in a temporary folder; exit with its code, 2 if it couldn't run."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))  # ends the gateways too
    record = Record(Path(folder) / "record.txt")
    gateways = []
    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = asyncio.new_event_loop().run_until_complete(main(record, temporary, gateways))
        except Exception as error:
            record(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            code = 2
        finally:
            for gateway in gateways:
                gateway.end()
            for process in ENDED_LAST:
                process.kill()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for path in Path(temporary).glob("*.log"):
                    (Path(keep) / path.name).write_bytes(path.read_bytes())
    record.close()
    sys.stdout.flush()
    os._exit(code)  # Connections that are still open need no clean-up.
