"""Log lines: a fixed prefix per part, a short sentence, key=value fields.

Bodies, tokens of operators and other secrets are never passed as fields.
"""

import logging

# absl's own logger by its name: processes that load absl.logging format and
# filter with it, and a gateway, whose memory is priced, does without.
_LOGGER = logging.getLogger("absl")


class PartLogger:
    """Logger of one part of the system.

    Usage: ``LOG = PartLogger("router")``; ``LOG.info("Owner moved.", slice=s)``.
    """

    def __init__(self, part: str) -> None:
        self._prefix = f"[{part}]"

    def info(self, sentence: str, **fields: object) -> None:
        """Log an event of ordinary operation."""
        _LOGGER.info("%s", self._line(sentence, fields))

    def warning(self, sentence: str, **fields: object) -> None:
        """Log an event an operator may want to look at."""
        _LOGGER.warning("%s", self._line(sentence, fields))

    def error(self, sentence: str, **fields: object) -> None:
        """Log a failure that needs an operator."""
        _LOGGER.error("%s", self._line(sentence, fields))

    def _line(self, sentence: str, fields: dict[str, object]) -> str:
        tail = "".join(f" {name}={value}" for name, value in fields.items())
        return f"{self._prefix} {sentence}{tail}"
