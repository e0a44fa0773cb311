"""Starts the programs of the project as separate processes on loopback, for tests."""

import json
import os
import select
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from ploverhatch.transport.http_client import HttpClient

TOKEN = "test-operator"
WAIT_S = 20.0
POLICY = """
group weights { slices 12; draw share 1.0 from servers where tier = "weights"; }
group permits { priority 1; slices 6; draw share 1.0 from servers where tier = "permits"; }
route GET "/weights/{hive}" to weights { key path hive; deadline 8s; wait 6s; }
route POST "/permits/{permit}" to permits { key path permit; once; deadline 8s; wait 6s; }
"""
ZONES = ("heath-hall", "valley-hall", "ridge-hall")


class Program:
    """A running ``ploverhatch`` process; ``ready`` waits for the JSON line that it prints first."""

    def __init__(self, *arguments):
        command = [sys.executable, "-m", "ploverhatch.cli", *arguments]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self._ready = None

    @property
    def ready(self):
        if self._ready is None:
            readable, _, _ = select.select([self.process.stdout], [], [], WAIT_S)
            assert readable, f"not ready: {self.process.args}"
            self._ready = json.loads(self.process.stdout.readline())
        return self._ready

    def signal(self, number):
        os.kill(self.process.pid, number)

    def kill(self):
        if self.process.poll() is None:
            self.signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.process.stdout.close()

    def terminate(self):
        self.signal(signal.SIGTERM)
        code = self.process.wait(WAIT_S)
        self.process.stdout.close()
        return code


class Cell:
    """The platform, back ends and nodes of a cell."""

    def __init__(self, nodes, backends, policy=POLICY, slots=4, service_ms=2.0):
        self.policy = policy
        self.node_count = nodes
        self.backend_counts = backends
        self.slots = slots
        self.service_ms = service_ms
        self.nodes = []
        self.backends = {}
        self._clients = {}

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for program in [*self.nodes, *self.backends.values(), self.platform]:
            program.kill()
        self.tokens.close()

    def _start(self):
        # Closed in __exit__.
        self.tokens = tempfile.NamedTemporaryFile("w", suffix=".tokens")  # noqa: SIM115
        self.tokens.write(f"operate {TOKEN}\n")
        self.tokens.flush()
        self.platform = Program("emulator", "platform")
        self.store = HttpClient("127.0.0.1", self.platform.ready["port"], 4)
        for tier, count in self.backend_counts.items():
            for number in range(count):
                self.add_backend(f"{tier}-{number + 1}")
        for number, name in enumerate(self.backends):
            self.register_backend(name, ZONES[number % 3])
        self.store_object("policy", "main", {"source": self.policy})
        for number in range(self.node_count):
            self.add_node(f"n{number + 1}", ZONES[number % 3])
        self.until(self.serving, bool)

    def add_backend(self, name):
        self.backends[name] = Program(
            "emulator", "backend", "--name", name, "--slots", str(self.slots),
            "--service-ms", str(self.service_ms),
        )  # fmt: skip

    def register_backend(self, name, zone):
        body = {
            "port": self.backends[name].ready["port"], "zone": zone, "slots": self.slots,
            "labels": {"tier": name.rsplit("-", 1)[0]},
        }  # fmt: skip
        self.store_object("server", name, body)

    def add_node(self, name, zone):
        seeds = [f"127.0.0.1:{node.ready['port']}" for node in self.nodes[:1]]
        arguments = [argument for seed in seeds for argument in ("--seed", seed)]
        program = Program(
            "node", "--name", name, "--zone", zone,
            "--platform", f"http://127.0.0.1:{self.platform.ready['port']}",
            "--tokens-file", self.tokens.name, *arguments,
        )  # fmt: skip
        self.nodes.append(program)
        return program

    def store_object(self, kind, name, body):
        current = self.store.exchange("GET", f"/v1/objects/{kind}/{name}")
        version = current.json()["version"] if current.status == 200 else 0
        payload = json.dumps({"operation": "test", "body": body}).encode()
        headers = {"If-Match": f'"{version}"'}
        answer = self.store.exchange("PUT", f"/v1/objects/{kind}/{name}", headers, payload)
        assert answer.status == 200

    def platform_faults(self, **faults):
        payload = json.dumps(faults).encode()
        assert self.store.exchange("POST", "/v1/faults", {}, payload).status == 200

    def client(self, node, port="http_port"):
        identity = (node.ready["node"], port)
        if identity not in self._clients:
            self._clients[identity] = HttpClient("127.0.0.1", node.ready[port], 64)
        return self._clients[identity]

    def get(self, node, path, echo=""):
        return self.client(node).exchange("GET", path, {"Echo": echo}, timeout_s=10)

    def post(self, node, path, key, body=b"{}"):
        headers = {"Idempotency-Key": key}
        return self.client(node).exchange("POST", path, headers, body, timeout_s=10)

    def admin(self, node, method, path, body=None, headers=None):
        fields = {"Authorization": f"Bearer {TOKEN}", **(headers or {})}
        payload = b"" if body is None else json.dumps(body).encode()
        return self.client(node, "admin_port").exchange(method, path, fields, payload)

    def status(self, node):
        return self.admin(node, "GET", "/api/status").json()

    def leader(self):
        """Return the node that reports itself as the leader, or ``None``."""
        for node in self.nodes:
            if node.process.poll() is None and self.status(node).get("nodes"):
                return node
        return None

    def serving(self):
        wanted = min(3, self.node_count)
        for node in self.nodes:
            report = self.status(node)
            if len(report.get("voters", [])) != wanted:
                return False
            rows = self.admin(node, "GET", "/api/assignments").json()["slices"]
            groups = {row["group"] for row in rows if row["server"]}
            if len(groups) != len(self.backend_counts) or not all(r["server"] for r in rows):
                return False
        return True

    def backend_call(self, name, verb, body=None):
        client = HttpClient("127.0.0.1", self.backends[name].ready["port"], 1)
        payload = json.dumps(body or {}).encode()
        return client.exchange("POST", f"/control/{verb}", {}, payload).json()

    def executions(self):
        return [
            row
            for name, program in self.backends.items()
            if program.process.poll() is None
            for row in self.backend_call(name, "executions")
        ]

    def until(self, probe, accept, limit_s=WAIT_S):
        """Repeat ``probe`` until ``accept`` is true for its value, then return the value.

        :raises AssertionError: when that takes longer than ``limit_s``.
        """
        end_s = time.monotonic() + limit_s
        while True:
            value = probe()
            if accept(value):
                return value
            assert time.monotonic() < end_s, f"condition not reached, last: {value}"
            time.sleep(0.05)  # pause between polls of a condition


SAMPLES = Path(__file__).parent.parent / "etc"
