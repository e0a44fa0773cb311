"""Control calls to one server: grants and releases of keys."""

import math
from collections.abc import Callable

import gevent

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.dialect import (
    Dialect,
    GrantCall,
    GrantRefusedError,
    OtherInstanceError,
    ReleaseCall,
)
from ploverhatch.sharding.keymap import Holder
from ploverhatch.sharding.messages import CallOutcome
from ploverhatch.state.standing import NOTHING, ServerNotice
from ploverhatch.transport.http_connection import (
    AnswerCutError,
    HostPort,
    HttpConnection,
    NotConnectedError,
    WireAnswer,
)

CONNECT_TIMEOUT_S = 0.3
GRANT_TIMEOUT_S = 0.6
RELEASE_TIMEOUT_S = 2.0
# A connection that the server broke may mean that it has started again, and a renewal would
# give the next life what was granted to the one before, at a token that does not rise. Its
# entry tells the next life by then: servers write it each 1.3 s, and it is read in 0.3 s.
# Where nothing tells, a renewal that waits so long still comes within the lease.
CONFIRM_MS = 1600.0


class _NoAnswerError(ConnectionError):
    """The call may be carried out, now or later."""


class _NotSentError(Exception):
    """The call was no longer right when it could have been sent."""


class ServerControl:
    """Calls to one server; one kept connection, others as needed.

    ``may_send`` is asked when a connection is there and the call would leave:
    what it says still holds then, since nothing waits in between. ``heard`` is told what
    answers say of the server.
    """

    def __init__(
        self, holder: Holder, dialect: Dialect, heard: Callable[[str, ServerNotice], None]
    ) -> None:
        self._server_id = holder.server_id
        self._address = HostPort(holder.host, holder.port)
        self._host = f"{holder.host}:{holder.port}"
        self._dialect = dialect
        self._heard = heard
        self._kept: HttpConnection | None = None
        self._broken_ms = -math.inf

    @property
    def may_be_reborn(self) -> bool:
        """Whether the server broke a connection lately, so that another life may answer."""
        return elapsed_ms() - self._broken_ms < CONFIRM_MS

    def grant(self, call: GrantCall, may_send: Callable[[], bool]) -> CallOutcome:
        """Grant or renew keys."""
        payload = self._dialect.encode_grant(call, self._server_id, self._host)
        try:
            self._dialect.read_grant(self._call(payload, GRANT_TIMEOUT_S, may_send))
        except GrantRefusedError:
            return CallOutcome.REFUSED
        except OtherInstanceError:
            return CallOutcome.OTHER_INSTANCE
        except _NotSentError:
            return CallOutcome.NOT_SENT
        except (ValueError, _NoAnswerError):
            return CallOutcome.NO_ANSWER
        return CallOutcome.DONE

    def release(self, call: ReleaseCall, may_send: Callable[[], bool]) -> tuple[CallOutcome, str]:
        """Take keys back; return the handover too."""
        payload = self._dialect.encode_release(call, self._server_id, self._host)
        try:
            answer = self._call(payload, RELEASE_TIMEOUT_S, may_send)
            return CallOutcome.DONE, self._dialect.read_release(answer)
        except OtherInstanceError:
            return CallOutcome.OTHER_INSTANCE, ""
        except _NotSentError:
            return CallOutcome.NOT_SENT, ""
        except (ValueError, _NoAnswerError):
            return CallOutcome.NO_ANSWER, ""

    def _call(self, payload: bytes, timeout_s: float, may_send: Callable[[], bool]) -> WireAnswer:
        connection = self._take()
        if not may_send():
            self._keep(connection)
            raise _NotSentError
        try:
            with gevent.Timeout(timeout_s):
                answer = connection.exchange(b"POST", payload)
        except gevent.Timeout as error:
            raise _NoAnswerError("no answer in time") from error
        except AnswerCutError as error:
            self._note_broken()
            raise _NoAnswerError(str(error)) from error
        if connection.reusable:
            self._keep(connection)
        else:
            connection.close()
        notice = self._dialect.notice(b"", self._server_id, answer)
        if notice != NOTHING:
            self._heard(self._server_id, notice)
        return answer

    def _take(self) -> HttpConnection:
        connection, self._kept = self._kept, None
        if connection is not None:
            if connection.is_quiet():
                return connection
            connection.close()
            self._note_broken()
        connection = HttpConnection(self._address)
        try:
            connection.open(CONNECT_TIMEOUT_S)
        except NotConnectedError as error:
            if error.refused:
                self._broken_ms = elapsed_ms()
            raise _NoAnswerError(str(error)) from error
        return connection

    def _note_broken(self) -> None:
        """The server broke a connection: it may have ended, or just rests its connections.

        Where it does so again and again, as one that keeps none at rest for long, renewals
        are let through in between, within the lease.
        """
        now_ms = elapsed_ms()
        if now_ms - self._broken_ms > 2 * CONFIRM_MS:
            self._broken_ms = now_ms

    def _keep(self, connection: HttpConnection) -> None:
        self.close()
        self._kept = connection

    def close(self) -> None:
        """Close the kept connection."""
        if self._kept is not None:
            self._kept.close()
            self._kept = None
