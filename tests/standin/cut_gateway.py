"""Runs a gateway whose outgoing TCP connections to chosen ports can be cut while it runs."""

import os
from pathlib import Path

import gevent
from gevent import socket

from ploverhatch.cli.platform_gateway import main
from tests.standin.links import LINKS_VARIABLE, LinkSocket

if __name__ == "__main__":
    states_file = Path(os.environ[LINKS_VARIABLE])
    LinkSocket.links.read(states_file)
    gevent.spawn(LinkSocket.links.follow, states_file)
    socket.socket = LinkSocket
    main()
