"""A simulated back end: the grant book in virtual time, and executions of requests."""

from collections.abc import Callable

from ploverhatch.backend.interface import Refusal
from ploverhatch.ownership.grant_book import GrantBook, Verdict
from ploverhatch.ownership.messages import SyncReply, SyncRequest
from ploverhatch.simulation.checker import Checker, Run
from ploverhatch.simulation.world import Process, World

SERVICE_MS = 20.0


class SimulatedServer(Process):
    """One incarnation of a server process."""

    def __init__(
        self, world: World, name: str, zone: str, boot: int, checker: Checker, rate_error: float
    ) -> None:
        super().__init__(world, zone, rate_error)
        self.name = name
        self.book = GrantBook(boot_id=f"{name}/{boot}")
        self._checker = checker
        self._running: list[Run] = []
        self._cancelled: set[str] = set()
        self._seen: set[str] = set()

    def kill(self) -> None:
        """End the process and all executions in it."""
        super().kill()
        self._interrupt()

    def freeze(self) -> None:
        """Pause the process; its executions count as ended for the checker."""
        super().freeze()
        self._interrupt()

    def _interrupt(self) -> None:
        for run in self._running:
            self._checker.ended(run, self.world.now_ms)

    def sync(self, request: SyncRequest, reply: Callable[[SyncReply], None]) -> None:
        """Handle a call of a leader."""
        reply(self.book.sync(request, self.clock.read()))

    def cancel(self, request_id: str) -> bool:
        """Cancel a request; true if it neither ran nor will run."""
        if request_id in self._seen:
            return False
        self._cancelled.add(request_id)
        return True

    def execute(
        self,
        key: tuple[str, int],
        token: int,
        request_id: str,
        idempotency_key: str,
        not_after_ms: float,
        reply: Callable[[Refusal, float], None],
    ) -> None:
        """Execute a request or refuse it; ``reply`` gets the refusal and this server's clock."""
        now_ms = self.clock.read()
        if request_id in self._cancelled:
            reply(Refusal.CANCELLED, now_ms)
            return
        verdict = self.book.check_start(key[0], key[1], token, now_ms, not_after_ms)
        if verdict is not Verdict.EXECUTE:
            reply(Refusal(verdict.value), now_ms)
            return
        run = Run(
            self.name, self.book.boot_id, key, token, request_id, idempotency_key,
            self.world.now_ms,
        )  # fmt: skip
        self._seen.add(request_id)
        self._running.append(run)
        self.book.begin(*key)
        self._checker.started(run)
        service_ms = SERVICE_MS * self.world.random.random()
        self.later(service_ms, lambda: self._finish(run, reply))

    def _finish(self, run: Run, reply: Callable[[Refusal, float], None]) -> None:
        self.book.end(*run.key)
        self._running.remove(run)
        self._checker.ended(run, self.world.now_ms)
        reply(Refusal.NONE, self.clock.read())
