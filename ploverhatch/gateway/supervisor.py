"""Restarts tasks of the process that fail.

An unexpected error that ends a task is a programming error. The rest of the process still
serves callers, so the error is logged and the task starts again.
"""

from collections.abc import Callable

import gevent

from ploverhatch.common.logs import PartLogger

LOG = PartLogger("supervisor")

RESTART_S = 0.5


def run_forever(
    name: str, job: Callable[[], None], failed: Callable[[], None] | None = None
) -> None:
    """Run a job until it returns, and run it again after a pause each time it raises.

    :param name: name of the task in the log.
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
