"""Sends a request to one server, once, and tells how that ended.

Whether and where to send is decided by the callers of this module.
"""

import gevent

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.gateway.call import Call
from ploverhatch.gateway.dialect import Dialect
from ploverhatch.gateway.directory import Directory
from ploverhatch.gateway.links import LinkMonitor
from ploverhatch.gateway.metrics import GatewayMetrics
from ploverhatch.gateway.quarantine import Quarantine
from ploverhatch.gateway.request_log import AttemptNote
from ploverhatch.gateway.server_choice import ServerChoice
from ploverhatch.gateway.upstreams import Upstream
from ploverhatch.routing.gateway_attempts import NOT_RUN, AttemptResult
from ploverhatch.state.server_notices import NO_NOTICE
from ploverhatch.transport.answer_match import AnswerMatch, match_answer
from ploverhatch.transport.http_connection import (
    AnswerCutError,
    AnswerTooLongError,
    ForeignAnswerError,
    HttpConnection,
    NotConnectedError,
    WireAnswer,
)

LOG = PartLogger("forwarder")

CONNECT_TIMEOUT_S = 0.3


class ServerAttempts:
    """Makes single attempts for the requests of one node."""

    def __init__(
        self,
        dialect: Dialect,
        directory: Directory,
        choice: ServerChoice,
        links: LinkMonitor,
        quarantine: Quarantine,
        metrics: GatewayMetrics,
    ) -> None:
        self._dialect = dialect
        self._directory = directory
        self._choice = choice
        self._links = links
        self._quarantine = quarantine
        self._metrics = metrics

    def make(self, call: Call, upstream: Upstream) -> tuple[AttemptResult, WireAnswer | None]:
        """Send a request to a server, and record the attempt in the request's trace.

        :returns: the outcome, and the server's answer where it tells one.
        """
        start_ms = elapsed_ms()
        call.trace.connection = call.trace.answer = ""
        result, answer = self._send(call, upstream)
        call.trace.attempts.append(
            AttemptNote(
                upstream.record.server_id,
                call.token,
                start_ms - call.request.received_ms,
                elapsed_ms() - start_ms,
                result,
                call.trace.connection,
                call.trace.answer,
            )
        )
        return result, answer

    def _send(self, call: Call, upstream: Upstream) -> tuple[AttemptResult, WireAnswer | None]:
        record = upstream.record
        left_ms = call.remaining_ms
        if left_ms <= 0:
            return AttemptResult.NOT_CONNECTED, None
        connection = self._connect(upstream, call.facts.request_id, left_ms)
        if connection is None:
            return AttemptResult.NOT_CONNECTED, None
        sent_ms = elapsed_ms()
        left_ms = call.deadline_ms - sent_ms
        # The server may have asked for a backoff or announced that it leaves while this request
        # waited for its slot and connection. No code between this check and the send waits.
        withheld = self._choice.exclusion(call, record.server_id) is not None
        if left_ms <= 0 or withheld:
            upstream.release(connection)
            return AttemptResult.WITHHELD if withheld else AttemptResult.NOT_CONNECTED, None
        head = self._dialect.encode_head(call.request, record.server_id, left_ms)
        call.trace.execution.note_send()
        call.trace.connection = f"{connection.number}.{connection.exchanges + 1}"
        self._count_send(record.server_id)
        self._quarantine.log_suspect_send(call, record.server_id)
        answer = self._exchange(call, upstream, connection, head, sent_ms)
        if isinstance(answer, AttemptResult):
            return answer, None
        result = self._classify(call, record.server_id, answer)
        if result is not AttemptResult.WRONG_INSTANCE:
            upstream.last_answer_ms = elapsed_ms()
        self._links.note_reached(upstream)
        notice = self._dialect.notice(call.facts.request_id, record.server_id, answer)
        if notice != NO_NOTICE:
            self._directory.apply_notice(record.server_id, notice, sent_ms)
        if notice.backoff_ms:
            upstream.note_backoff()
            self._choice.note_backoff(record.server_id)
        if result is AttemptResult.LOST:
            connection.abort()
            return result, None
        upstream.release(connection)
        if result is AttemptResult.ANSWERED:
            upstream.note_answer(elapsed_ms() - sent_ms, call.route.objective_ms)
        return result, answer

    def _classify(self, call: Call, server_id: str, answer: WireAnswer) -> AttemptResult:
        """Return the outcome of an attempt; record what its answer proves."""
        result = self._dialect.classify_answer(call.facts, server_id, answer)
        proof = self._dialect.execution_proof(call.facts, server_id, answer)
        call.trace.answer = f"{answer.status}/{proof.value}"
        self._metrics.count_answer(answer.status, proof)
        if result in NOT_RUN:
            call.trace.execution.note_not_run()
        return result

    def _connect(
        self, upstream: Upstream, request_id: bytes, left_ms: float
    ) -> HttpConnection | None:
        try:
            connection = upstream.connection(min(CONNECT_TIMEOUT_S, left_ms / 1000), request_id)
        except NotConnectedError as error:
            self._links.note_unreached(upstream, error.refused)
            if error.refused:
                self._quarantine.note_refused(upstream)
            return None
        if connection.is_new:
            self._links.note_reached(upstream)
        return connection

    def _exchange(
        self,
        call: Call,
        upstream: Upstream,
        connection: HttpConnection,
        head: bytes,
        sent_ms: float,
    ) -> WireAnswer | AttemptResult:
        """Send a request and return the server's answer, or the outcome if there is none."""
        request_id = call.facts.request_id
        earlier = frozenset(connection.request_ids)
        connection.request_ids.append(request_id)

        def match(answer: WireAnswer) -> AnswerMatch:
            return match_answer(request_id, self._dialect.answered_id(answer), earlier)

        try:
            with gevent.Timeout((call.deadline_ms - sent_ms) / 1000):
                return connection.exchange(
                    call.request.method,
                    head,
                    match=match,
                    body=call.request.body,
                    max_body_bytes=upstream.max_body_bytes,
                )
        except gevent.Timeout:
            self._quarantine.note_timeout(call, upstream, sent_ms)
            return AttemptResult.TIMED_OUT
        except ForeignAnswerError:
            LOG.warning(
                "Answer may belong to another request.",
                request=call.trace.request_id,
                server=upstream.record.server_id,
                connection=call.trace.connection,
            )
            return AttemptResult.LOST
        except AnswerTooLongError as error:
            # The server lives, but the request may have run.
            upstream.note_too_long(error.body_bytes)
            LOG.warning(
                "Answer of a server is too long.",
                request=call.trace.request_id,
                server=upstream.record.server_id,
                cause=error,
            )
            return AttemptResult.LOST
        except AnswerCutError:
            self._quarantine.note_lost(call, upstream, sent_ms)
            upstream.note_lost(connection)
            return AttemptResult.LOST
        except BaseException:  # The caller disconnected, or the process exits.
            self._quarantine.note_abandoned(call, upstream, sent_ms)
            raise

    def _count_send(self, server_id: str) -> None:
        notices = self._directory.servers.notices
        if notices.is_leaving(server_id):
            self._metrics.sends["leaving"] += 1
        if notices.backoff_left_ms(server_id, elapsed_ms()) > 0:
            self._metrics.sends["resting"] += 1
        if server_id in notices.limit_per_s:
            self._metrics.sends["limited"] += 1
