"""Ignores SIGHUP until the process handles it; imported before all that takes time to import.

The platform may send SIGHUP to a process that has just started, which would end it. The settings
file is read after this, so no change is missed.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
