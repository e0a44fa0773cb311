"""Checks the invariants of a simulated run, independently of the code under test.

The checker receives executions at the servers, committed log entries, answers to callers and the
configurations of the nodes. It uses no state of the decision code.
"""

from dataclasses import dataclass, field

from ploverhatch.transport import wire


@dataclass
class Run:
    """One execution of a request on a server; ``ended_ms`` is infinite while it runs."""

    server: str
    boot_id: str
    key: tuple[str, int]
    token: int
    request_id: str
    idempotency_key: str
    started_ms: float
    ended_ms: float = float("inf")


@dataclass
class Checker:
    """Collects violations of invariants as sentences."""

    violations: list[str] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    _running: dict[tuple[str, int], list[Run]] = field(default_factory=dict)
    _highest_tokens: dict[tuple[str, int], int] = field(default_factory=dict)
    _request_ids: dict[str, str] = field(default_factory=dict)
    _entries: dict[tuple[int, int], tuple[int, int, bytes]] = field(default_factory=dict)
    _generations: dict[str, int] = field(default_factory=dict)
    _not_run: set[str] = field(default_factory=set)
    _leaders: dict[tuple[int, int], str] = field(default_factory=dict)

    def started(self, run: Run) -> None:
        """Note that a server started to execute a request."""
        self.runs.append(run)
        for other in self._running.get(run.key, []):
            if other.boot_id != run.boot_id:
                self._add_violation(run, f"key {run.key} runs on {other.server} and {run.server}")
        if run.token < self._highest_tokens.get(run.key, 0):
            self._add_violation(run, f"key {run.key} runs under an older token on {run.server}")
        self._highest_tokens[run.key] = max(run.token, self._highest_tokens.get(run.key, 0))
        self._running.setdefault(run.key, []).append(run)
        if run.idempotency_key:
            earlier = self._request_ids.setdefault(run.idempotency_key, run.request_id)
            if earlier != run.request_id:
                self._add_violation(run, f"{run.idempotency_key} ran twice")
        if run.request_id in self._not_run:
            self._add_violation(run, f"{run.request_id} ran after it was answered not-run")

    def ended(self, run: Run, now_ms: float) -> None:
        """Note that an execution ended, or that its server was killed or frozen."""
        run.ended_ms = now_ms
        running = self._running.get(run.key, [])
        if run in running:
            running.remove(run)

    def answered_not_run(self, request_ids: list[str], now_ms: float) -> None:
        """Note that a caller's answer states that none of these attempts ran or will run."""
        ran = {run.request_id for run in self.runs} & set(request_ids)
        if ran:
            self.violations.append(f"{now_ms:.1f}: {sorted(ran)} ran, answered not-run")
        self._not_run.update(request_ids)

    def committed(self, node: str, epoch: int, entry: wire.LogEntry, now_ms: float) -> None:
        """Note that a node applied a committed entry."""
        identity = (epoch, int(entry.index))
        value = (int(entry.term), int(entry.kind), bytes(entry.payload))
        known = self._entries.setdefault(identity, value)
        if known != value:
            self.violations.append(f"{now_ms:.1f}: {node} committed another entry at {identity}")

    def leading(self, node: str, epoch: int, term: int, now_ms: float) -> None:
        """Note that a node became the leader of a term."""
        known = self._leaders.setdefault((epoch, term), node)
        if known != node:
            self.violations.append(f"{now_ms:.1f}: {known} and {node} lead term {term}")

    def configured(self, process: str, generation: int, now_ms: float) -> None:
        """Note the configuration that a process has in force."""
        known = self._generations.get(process, 0)
        if generation < known:
            self.violations.append(
                f"{now_ms:.1f}: {process} went from generation {known} to {generation}"
            )
        self._generations[process] = max(known, generation)

    def _add_violation(self, run: Run, sentence: str) -> None:
        self.violations.append(f"{run.started_ms:.1f}: {sentence}")
