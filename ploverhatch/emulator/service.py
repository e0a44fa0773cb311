"""Base of the emulators: one HTTP server around one handler."""

from collections.abc import Callable

from ploverhatch.common.problem import HttpReply
from ploverhatch.transport.http_server import HttpServer
from ploverhatch.transport.wsgi import Environ, as_application


class Service:
    """Serves from construction until :meth:`close`."""

    def __init__(self, address: tuple[str, int], handler: Callable[[Environ], HttpReply]) -> None:
        self.server = HttpServer(address, as_application(handler))
        self.server.start()

    @property
    def port(self) -> int:
        """Port that is listened on."""
        return self.server.port

    def close(self) -> bool:
        """Stop serving at once; open connections are cut."""
        self.server.abort()
        return True
