"""Base class of the emulators: an HTTP server with one handler."""

from collections.abc import Callable

from ploverhatch.common.problem import HttpReply
from ploverhatch.transport.http_server import HttpServer
from ploverhatch.transport.wsgi import Environ, as_application


class Service:
    """An HTTP server that serves from construction until :meth:`close`."""

    def __init__(self, address: tuple[str, int], handler: Callable[[Environ], HttpReply]) -> None:
        self.server = HttpServer(address, as_application(handler))
        self.server.start()

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self.server.port

    def close(self) -> bool:
        """Stop serving at once and reset open connections."""
        self.server.abort()
        return True
