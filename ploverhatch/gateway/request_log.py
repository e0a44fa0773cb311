"""Writes one log line for each request that wasn't ordinary.

A request is ordinary if its first attempt was answered within the route's objective, with a
status that does not promise that it has not run.
Ordinary requests are only counted. docs/LOGS.md lists the fields.
"""

from dataclasses import dataclass, field

from ploverhatch.common.logs import PartLogger
from ploverhatch.common.results import NOT_RUN_STATUSES
from ploverhatch.routing.execution import ExecutionRecord
from ploverhatch.routing.gateway_attempts import AttemptResult

LOG = PartLogger("request")


@dataclass(frozen=True, slots=True)
class AttemptNote:
    """One attempt, as it is logged."""

    server_id: str
    token: int  # The fencing token of the key's range; 0 for a request without a key.
    after_ms: float  # The time from the first byte of the request to this attempt.
    took_ms: float
    result: AttemptResult
    connection: str = ""  # "CONNECTION.EXCHANGE", empty if nothing was sent
    answer: str = ""  # "STATUS/PROOF" of the server's answer, empty without one

    def text(self) -> str:
        """Return ``server@token#connection.exchange:result:start+duration``."""
        times = f"{self.after_ms:.0f}+{self.took_ms:.0f}"
        sent_on = f"#{self.connection}" if self.connection else ""
        return f"{self.server_id}@{self.token}{sent_on}:{self.result.value}:{times}"


@dataclass(slots=True)
class RequestTrace:
    """What has happened to one request so far; times are in milliseconds."""

    request_id: str = "-"
    route: str = "-"
    service: str = "-"
    key: int | None = None
    version: int = 0
    objective_ms: float = 0.0
    stated_ms: float | None = None  # The deadline that the caller stated.
    # The time from the caller's first attempt to this one, as far as it can be known.
    before_ms: float = 0.0
    attempts: list[AttemptNote] = field(default_factory=list)
    execution: ExecutionRecord = field(default_factory=ExecutionRecord)
    connection: str = ""  # What the present attempt was sent on; see AttemptNote.
    answer: str = ""  # What the present attempt was answered; see AttemptNote.
    slot: str = ""  # The last reply to a request for a shared slot, and the node that sent it.
    received_ms: float = 0.0  # When its first byte was read, in elapsed milliseconds.
    via: list[str] = field(default_factory=list)  # Nodes that it was sent on to, as logged.

    @property
    def is_return(self) -> bool:
        """Whether the caller is known to have come back after an earlier attempt."""
        return self.before_ms > 0

    def finish(self, status: int, result_code: int, detail: str, took_ms: float) -> None:
        """Write the line, unless the request was ordinary."""
        first_try = len(self.attempts) == 1 and self.attempts[0].result is AttemptResult.ANSWERED
        promises = status in NOT_RUN_STATUSES
        if first_try and not self.via and not promises and took_ms <= self.objective_ms:
            return
        self._log("Request ended.", status, result_code, detail, took_ms)

    def log_unanswered(self, cause: str, took_ms: float) -> None:
        """Write the line of a request whose caller received no answer."""
        self._log("Request without answer.", 0, 0, cause, took_ms)

    def note_forwarding(
        self, node: str, result: AttemptResult, start_ms: float, end_ms: float
    ) -> None:
        """Note that the request was sent on to a node, with the outcome; elapsed milliseconds."""
        after_ms = start_ms - self.received_ms
        self.via.append(f"{node}:{result.value}:{after_ms:.0f}+{end_ms - start_ms:.0f}")

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
            stated_ms="-" if self.stated_ms is None else round(self.stated_ms),
            before_ms=round(self.before_ms),
            slot=self.slot or "-",
            via="|".join(self.via) or "-",
            attempts="|".join(note.text() for note in self.attempts) or "-",
            answers="|".join(note.answer or "-" for note in self.attempts) or "-",
        )
