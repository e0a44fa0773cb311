"""One log line for each request that did not go the ordinary way.

A request is ordinary when its first attempt was answered within the route's
objective; those are only counted. docs/LOGS.md lists the fields.
"""

from dataclasses import dataclass, field

from ploverhatch.common.logs import PartLogger
from ploverhatch.routing.attempt_outcome import AttemptResult

LOG = PartLogger("request")


@dataclass(frozen=True, slots=True)
class AttemptNote:
    """One attempt, as it is told."""

    server_id: str
    token: int  # of the key's range; 0 where keys do not matter
    after_ms: float  # since the request was read
    took_ms: float
    result: AttemptResult

    def text(self) -> str:
        """Return ``server@token:result:start+duration``."""
        times = f"{self.after_ms:.0f}+{self.took_ms:.0f}"
        return f"{self.server_id}@{self.token}:{self.result.value}:{times}"


@dataclass(slots=True)
class RequestTrace:
    """What happened to one request so far; times in milliseconds."""

    request_id: str = "-"
    route: str = "-"
    service: str = "-"
    key: int | None = None
    version: int = 0
    objective_ms: float = 0.0
    attempts: list[AttemptNote] = field(default_factory=list)
    sent: bool = False  # a server may have got it
    slot: str = ""  # the last word on a slot that all nodes share, and which node gave it

    def finish(self, status: int, result_code: int, detail: str, took_ms: float) -> None:
        """Write the line, unless the request was an ordinary one."""
        first_try = len(self.attempts) == 1 and self.attempts[0].result is AttemptResult.ANSWERED
        if first_try and took_ms <= self.objective_ms:
            return
        self._log("Request ended.", status, result_code, detail, took_ms)

    def log_unanswered(self, cause: str, took_ms: float) -> None:
        """Write the line of a request whose caller got no answer."""
        self._log("Request without answer.", 0, 0, cause, took_ms)

    def _log(
        self, sentence: str, status: int, result_code: int, detail: str, took_ms: float
    ) -> None:
        LOG.info(
            sentence,
            request=self.request_id,
            status=status,
            result=result_code,
            detail=detail or "-",
            took_ms=round(took_ms),
            route=self.route,
            service=self.service,
            key="-" if self.key is None else self.key,
            version=self.version,
            slot=self.slot or "-",
            attempts="|".join(note.text() for note in self.attempts) or "-",
        )
