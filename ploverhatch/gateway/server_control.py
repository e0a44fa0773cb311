"""Control calls to one server, which grant keys to it and release them.

Neither calls nor answers name each other; the order on a connection is all that ties them, and a
server may send an answer too many. So grants alone are sent on a kept connection, and only after
successful answers. An answer that a later grant gets too early says that a grant was taken; the
grant's own answer, which follows, ends the connection, and no server but this one can have the
keys before they are released. A release has a connection of its own: its answer says that the
server is done with the keys.
"""

from collections.abc import Callable

import gevent

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.gateway.dialect import (
    Dialect,
    GrantCall,
    GrantRefusedError,
    OtherInstanceError,
    ReleaseCall,
)
from ploverhatch.sharding.holders import LeaseTiming
from ploverhatch.sharding.keymap import Holder
from ploverhatch.sharding.messages import CallOutcome
from ploverhatch.state.server_notices import NO_NOTICE, ServerNotice
from ploverhatch.transport.http_connection import (
    AnswerCutError,
    HostPort,
    HttpConnection,
    NotConnectedError,
    WireAnswer,
)

LOG = PartLogger("leader")

CONNECT_TIMEOUT_S = 0.3
GRANT_TIMEOUT_S = 0.6
RELEASE_TIMEOUT_S = 2.0
# A server may close an idle connection this much earlier than the timeout it announced.
IDLE_MARGIN_S = 0.5
SUCCESS = range(200, 300)
DEFAULT_TIMING = LeaseTiming()


class _NoAnswerError(ConnectionError):
    """The call got no usable answer; the server may still carry it out."""


class _NotListeningError(_NoAnswerError):
    """No process listens at the server's address."""


class _NotSentError(Exception):
    """The call was not sent, since it was no longer allowed when the connection was open."""


class ServerControl:
    """Control calls to one server, over one kept connection and others as needed.

    A renewal must reach the incarnation of the server that was granted the keys, or none: the
    next incarnation at the address has the same id, and would hold keys at a token that did
    not increase. So a renewal is sent only while no connection to that incarnation was seen
    to close. These are the kept connection and the one whose call got no answer, which stays
    open for this purpose until a later call is answered.

    A grant whose bytes a cut link holds up would take effect when the link heals, for a whole
    lease from then on. So no connection with an unanswered call stays open for as long as the
    lease that its call may have granted, after which the keys may be held by another server.

    The argument ``may_send`` of a call is evaluated when a connection is open and the call
    is about to be sent; nothing waits in between.

    :param on_notice: called with the server's id and the statements about itself that it makes
        in an answer.
    :param timing: times that follow from the duration of the leases that are granted.
    """

    def __init__(
        self,
        holder: Holder,
        dialect: Dialect,
        on_notice: Callable[[str, ServerNotice], None],
        timing: LeaseTiming = DEFAULT_TIMING,
    ) -> None:
        self._server_id = holder.server_id
        self._address = HostPort(holder.host, holder.port)
        self._host = f"{holder.host}:{holder.port}"
        self._dialect = dialect
        self._on_notice = on_notice
        self._timing = timing
        self._sent_ms: dict[HttpConnection, float] = {}  # of calls without an answer so far
        self._closed = False
        self._kept: HttpConnection | None = None
        self._unanswered: HttpConnection | None = None  # its call got no answer in time
        self._broken = False

    def grant(
        self, call: GrantCall, may_send: Callable[[], bool], renewal: bool = False
    ) -> CallOutcome:
        """Grant or renew keys; a renewal goes only to the incarnation that was granted them."""
        if renewal and self._has_broken():
            return CallOutcome.UNPROVEN
        payload = self._dialect.encode_grant(call, self._server_id, self._host)

        def still_allowed() -> bool:
            # Another incarnation may have begun while the connection was opened.
            return may_send() and not (renewal and self._may_have_broken())

        try:
            self._dialect.read_grant(self._call(payload, GRANT_TIMEOUT_S, still_allowed))
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
        """Release keys; return the outcome and the server's handover value, empty for none."""
        payload = self._dialect.encode_release(call, self._server_id, self._host)
        try:
            answer = self._call_once(payload, RELEASE_TIMEOUT_S, may_send)
            return CallOutcome.DONE, self._dialect.read_release(answer)
        except OtherInstanceError:
            return CallOutcome.OTHER_INSTANCE, ""
        except _NotSentError:
            return CallOutcome.NOT_SENT, ""
        except _NotListeningError:
            return CallOutcome.NOT_LISTENING, ""
        except (ValueError, _NoAnswerError):
            return CallOutcome.NO_ANSWER, ""

    def _call(self, payload: bytes, timeout_s: float, may_send: Callable[[], bool]) -> WireAnswer:
        connection = self._acquire()
        if self._closed:
            connection.abort()
            raise _NotSentError
        if not may_send():
            self._keep(connection)
            raise _NotSentError
        self._sent_ms[connection] = elapsed_ms()
        try:
            answer = self._exchange(connection, payload, timeout_s)
        finally:
            if connection is not self._unanswered:
                del self._sent_ms[connection]
        if not self._has_broken():
            self._drop_unanswered()  # the answered connection serves its purpose from here on
        if connection.reusable and answer.status in SUCCESS:
            self._keep(connection)
        else:
            connection.close()
            self._reconnect()
        self._pass_on_notice(answer)
        return answer

    def _call_once(
        self, payload: bytes, timeout_s: float, may_send: Callable[[], bool]
    ) -> WireAnswer:
        """Make a call on a connection that no other call shares."""
        connection = self._open()
        self._sent_ms[connection] = elapsed_ms()
        try:
            if self._closed or not may_send():
                raise _NotSentError
            with gevent.Timeout(timeout_s):
                answer = connection.exchange(b"POST", payload)
        except gevent.Timeout as error:
            raise _NoAnswerError("no answer in time") from error
        except AnswerCutError as error:
            # A full server resets new connections. Others show whether this incarnation lives.
            self._broken = self._broken or not (self._kept or len(self._sent_ms) > 1)
            raise _NoAnswerError(str(error)) from error
        finally:
            self._sent_ms.pop(connection, None)
            connection.close()
        self._pass_on_notice(answer)
        return answer

    def _pass_on_notice(self, answer: WireAnswer) -> None:
        notice = self._dialect.notice(b"", self._server_id, answer)
        if notice != NO_NOTICE:
            self._on_notice(self._server_id, notice)

    def _exchange(self, connection: HttpConnection, payload: bytes, timeout_s: float) -> WireAnswer:
        try:
            with gevent.Timeout(timeout_s):
                return connection.exchange(b"POST", payload, keep_open_on_timeout=True)
        except gevent.Timeout as error:
            self._note_unanswered(connection)
            raise _NoAnswerError("no answer in time") from error
        except AnswerCutError as error:
            self._broken = True
            raise _NoAnswerError(str(error)) from error

    def _acquire(self) -> HttpConnection:
        if not self._has_broken() and self._kept is not None:
            connection, self._kept = self._kept, None
            return connection
        return self._open()

    def _open(self) -> HttpConnection:
        connection = HttpConnection(self._address)
        try:
            connection.open(CONNECT_TIMEOUT_S)
        except NotConnectedError as error:
            if error.refused:
                self._broken = True
                raise _NotListeningError(str(error)) from error
            raise _NoAnswerError(str(error)) from error
        connection.discard_after(self._timing.discard_ms)
        return connection

    def discard_overdue(self, now_ms: float) -> None:
        """Abort connections whose calls might otherwise arrive after their leases have expired.

        Whether the same incarnation still runs can't be seen from then on, as after a break.
        """
        for connection, sent_ms in list(self._sent_ms.items()):
            if now_ms - sent_ms >= self._timing.discard_ms:
                LOG.info("Unanswered call to a server was discarded.", server=self._server_id)
                self._broken = True
                self._abort(connection)

    def _abort(self, connection: HttpConnection) -> None:
        connection.abort()
        if connection is self._unanswered:
            self._unanswered = None
            del self._sent_ms[connection]

    def pop_connection_break(self) -> bool:
        """Return whether the server closed a connection since the last call of this method.

        The next incarnation at the address has the same id, and would accept a call that was
        meant for this one.
        """
        broken, self._broken = self._has_broken(), False
        return broken

    def _has_broken(self) -> bool:
        kept = self._kept
        if kept is not None and not kept.is_usable():
            idle_s = elapsed_ms() / 1000 - kept.idle_since_s
            # The server announced that it closes connections that are idle for this long.
            announced = 0 < kept.idle_timeout_s <= idle_s + IDLE_MARGIN_S
            self._broken = self._broken or not announced
            self._close_kept()
        if self._unanswered is not None and self._unanswered.closed_by_peer():
            self._broken = True
            self._drop_unanswered()
        return self._broken

    def _may_have_broken(self) -> bool:
        """Whether another incarnation may answer over a connection that was just opened.

        While the link was silent, the end of the unanswered call's connection could not arrive.
        If its bytes are still unacknowledged, it doesn't show yet that the same incarnation runs.
        """
        if self._unanswered is not None and self._unanswered.has_unacknowledged:
            self._broken = True
        return self._has_broken()

    def _note_unanswered(self, connection: HttpConnection) -> None:
        """Keep a connection whose call got no answer, unless an earlier such one is kept."""
        if self._closed or self._unanswered is not None:
            connection.abort()
            return
        if connection.closed_by_peer():
            # Also if the call was discarded while this process stood still.
            self._broken = True
            connection.abort()
            return
        connection.enable_keepalive()
        self._unanswered = connection

    def _drop_unanswered(self) -> None:
        if self._unanswered is not None:
            self._abort(self._unanswered)

    def _reconnect(self) -> None:
        """Open a connection at once after an answer that closes its own.

        The server has just answered, so it can hardly have been restarted in between.
        """
        connection = HttpConnection(self._address)
        try:
            connection.open(CONNECT_TIMEOUT_S)
        except NotConnectedError as error:
            LOG.info("Server closes its connections.", server=self._server_id, cause=error)
            return
        connection.discard_after(self._timing.discard_ms)
        self._keep(connection)

    def _keep(self, connection: HttpConnection) -> None:
        self._close_kept()
        if self._closed:
            connection.abort()
            return
        connection.idle_since_s = elapsed_ms() / 1000
        self._kept = connection

    def close(self) -> None:
        """Abort all connections, those of calls in flight too, and send nothing any more."""
        self._closed = True
        for connection in list(self._sent_ms):
            self._abort(connection)
        self._close_kept()

    def _close_kept(self) -> None:
        if self._kept is not None:
            self._kept.close()
            self._kept = None
