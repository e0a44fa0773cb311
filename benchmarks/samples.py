"""Runs both sample deployments as separate processes, and times the policy compiler.

Every route is called through every node, and each call must get the complete answer of the owner.
Then a policy of 1000 routes and 500 selectors is compiled.
"""

import time
from pathlib import Path

from ploverhatch.policy.compiler import compile_policy
from ploverhatch.settings.deployment import Deployment
from ploverhatch.settings.loader import load_model
from tests.processes import SAMPLES, Cell

DEPLOYMENTS = ("uplands", "gauteng-east")
NODES = 3
ROUTES = 1000
SELECTORS = 500


def call_every_route(name):
    """Return the number of back ends and the number of answered calls."""
    deployment = load_model(Deployment, SAMPLES / f"{name}.toml")
    policy = Path(SAMPLES / deployment.policy_file).read_text(encoding="utf-8")
    backends = {upstream.name: upstream.count for upstream in deployment.upstream}
    slots = deployment.upstream[0].slots
    answered = 0
    with Cell(nodes=NODES, backends=backends, policy=policy, slots=slots) as cell:
        for traffic in deployment.traffic:
            for number, node in enumerate(cell.nodes):
                path = traffic.path.replace("{key}", f"k{number}")
                headers = {"Echo": path, "Idempotency-Key": f"{path}-{number}"}
                body = b"{}" if traffic.once else b""
                answer = cell.client(node).exchange(traffic.method, path, headers, body)
                assert answer.headers["ploverhatch-result"] == "1000", answer
                assert answer.json()["echo"] == path
                answered += 1
    return sum(backends.values()), answered


def compile_seconds():
    """Return the seconds that it takes to compile a large policy."""
    groups = [
        f'group g{number} {{ draw share 0.002 from servers where tier = "t{number}" '
        f'or (zone in ["a", "b"] and has x{number}); }}'
        for number in range(SELECTORS)
    ]
    routes = [
        f'route GET "/r{number}/{{k}}" to g{number % SELECTORS} {{ key path k; }}'
        for number in range(ROUTES)
    ]
    servers = {f"s{number}": {"tier": f"t{number}"} for number in range(100)}
    started_s = time.perf_counter()
    compile_policy("\n".join([*groups, *routes]), servers)
    return time.perf_counter() - started_s


def main():
    """Run both parts and print the results."""
    for name in DEPLOYMENTS:
        backends, answered = call_every_route(name)
        print(f"{name}: {backends} back ends, {NODES} nodes, {answered} of {answered} answered")
    print(f"policy of {ROUTES} routes, {SELECTORS} selectors: {compile_seconds():.2f} s")


if __name__ == "__main__":
    main()
