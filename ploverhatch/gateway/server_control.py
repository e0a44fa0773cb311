"""Control calls to one server: grants and releases of keys."""

import gevent

from ploverhatch.gateway.dialect import Dialect, GrantCall, ReleaseCall
from ploverhatch.sharding.keymap import Holder
from ploverhatch.transport.http_connection import (
    AnswerCutError,
    HostPort,
    HttpConnection,
    NotConnectedError,
    WireAnswer,
)

CONNECT_TIMEOUT_S = 0.3
GRANT_TIMEOUT_S = 0.6
MAX_IDLE_S = 5.0


class ControlCallError(ConnectionError):
    """No usable answer; the call may be carried out, now or later."""


class ServerControl:
    """Calls to one server; one kept connection, others as needed."""

    def __init__(self, holder: Holder, dialect: Dialect) -> None:
        self._server_id = holder.server_id
        self._address = HostPort(holder.host, holder.port)
        self._host = f"{holder.host}:{holder.port}"
        self._dialect = dialect
        self._kept: HttpConnection | None = None

    def grant(self, call: GrantCall) -> None:
        """Grant or renew.

        :raises ControlCallError: without an answer.
        :raises GrantRefusedError: when the server has seen a higher token.
        :raises OtherInstanceError: when another server has the address.
        """
        answer = self._call(
            self._dialect.encode_grant(call, self._server_id, self._host), GRANT_TIMEOUT_S
        )
        try:
            self._dialect.read_grant(answer)
        except ValueError as error:
            raise ControlCallError(str(error)) from error

    def release(self, call: ReleaseCall, timeout_s: float) -> str:
        """Take keys back; return the handover.

        :raises OtherInstanceError: when another server has the address.
        :raises ControlCallError: without an answer.
        """
        answer = self._call(
            self._dialect.encode_release(call, self._server_id, self._host), timeout_s
        )
        try:
            return self._dialect.read_release(answer)
        except ValueError as error:
            raise ControlCallError(str(error)) from error

    def _call(self, payload: bytes, timeout_s: float) -> WireAnswer:
        connection = self._take()
        try:
            with gevent.Timeout(timeout_s):
                answer = connection.exchange(b"POST", payload)
        except gevent.Timeout as error:
            raise ControlCallError("no answer in time") from error
        except AnswerCutError as error:
            raise ControlCallError(str(error)) from error
        if connection.reusable and self._kept is None:
            self._kept = connection
        else:
            connection.close()
        return answer

    def _take(self) -> HttpConnection:
        connection, self._kept = self._kept, None
        if connection is not None:
            if connection.is_quiet():
                return connection
            connection.close()
        connection = HttpConnection(self._address)
        try:
            connection.open(CONNECT_TIMEOUT_S)
        except NotConnectedError as error:
            raise ControlCallError(str(error)) from error
        return connection

    def close(self) -> None:
        """Close the kept connection."""
        if self._kept is not None:
            self._kept.close()
            self._kept = None
