"""A TCP proxy whose open connections can go silent for good while new ones work."""

import asyncio
import os


class Proxy:
    """Forwards connections to a port."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.port = 0
        self._open: list["_Link"] = []

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def silence(self) -> int:
        """Forward nothing more on the connections that are open now; return their number."""
        live = [link for link in self._open if not link.over]
        for link in live:
            link.silent = True
        self._open = []
        return len(live)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = _Link()
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self._open.append(link)
        await asyncio.gather(
            link.copy(reader, far_writer), link.copy(far_reader, writer), return_exceptions=True
        )


class _Link:
    def __init__(self) -> None:
        self.silent = False
        self.over = False

    async def copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65_536):
                if self.silent:
                    continue  # taken from the wire, never forwarded
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        if self.silent:
            return  # the end isn't forwarded either
        self.over = True
        writer.close()


def owner_of(port: int, pids: dict[int, str]) -> str:
    """Return the name of the process, of some, that has a local port; empty for none."""
    inode = ""
    for row in open("/proc/net/tcp").read().splitlines()[1:]:
        columns = row.split()
        if int(columns[1].rpartition(":")[2], 16) == port and columns[9] != "0":
            inode = columns[9]
            break
    if not inode:
        return ""
    for pid, name in pids.items():
        try:
            fds = os.listdir(f"/proc/{pid}/fd")
        except OSError:
            continue
        for fd in fds:
            try:
                if os.readlink(f"/proc/{pid}/fd/{fd}") == f"socket:[{inode}]":
                    return name
            except OSError:
                continue
    return ""


class CuttingProxy:
    """Stands in front of one upstream; can cut the link between it and single machines.

    A cut is silent: nothing more is forwarded on open connections, and new ones hang.

    :param pids: the names of the machines by process id.
    """

    def __init__(self, target: int, pids: dict[int, str], cut: set[str]) -> None:
        self.target = target
        self.port = 0
        self._pids = pids
        self._cut = cut  # names of the machines that are cut off, shared by all proxies

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=256)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = owner_of(writer.get_extra_info("peername")[1], self._pids)
        if name in self._cut:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._copy(reader, far_writer, name),
            self._copy(far_reader, writer, name),
            return_exceptions=True,
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str
    ) -> None:
        try:
            while data := await reader.read(262_144):
                if name in self._cut:
                    break
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        if name in self._cut:
            writer.transport.abort()
        else:
            writer.close()
