"""Keeps the tasks of a process running, whatever one of them runs into.

A task that ends by an unexpected error is a fault of ours. The rest of the
process still serves callers, so it is logged and the task starts anew.
"""

from collections.abc import Callable

import gevent

from ploverhatch.common.logs import PartLogger

LOG = PartLogger("supervisor")

RESTART_S = 0.5


def run_forever(
    name: str, job: Callable[[], None], failed: Callable[[], None] | None = None
) -> None:
    """Run a job; run it again after a pause when it raises.

    :param name: for the log.
    :param job: ends only when it should.
    :param failed: called after each failure, before the pause.
    """
    while True:
        try:
            job()
        except Exception as error:
            LOG.error("Task failed.", task=name, error=type(error).__name__, cause=error)
        else:
            return
        if failed is not None:
            failed()
        gevent.sleep(RESTART_S)
