"""Log lines: a prefix that names the part of the system, a short sentence, key=value fields.

Request bodies, operators' tokens and other secrets are never passed as fields.
"""

import logging

# This is absl's own logger, requested by name: processes that load absl.logging use its
# formatting and filters. Gateways run on machines whose memory is priced and don't load it.
_LOGGER = logging.getLogger("absl")


class PartLogger:
    """Logger of one part of the system.

    For example: ``LOG = PartLogger("router")``; ``LOG.info("Owner moved.", slice=s)``.
    """

    def __init__(self, part: str) -> None:
        self._prefix = f"[{part}]"

    def info(self, sentence: str, **fields: object) -> None:
        """Log an event of normal operation."""
        _LOGGER.info("%s", self._line(sentence, fields))

    def warning(self, sentence: str, **fields: object) -> None:
        """Log an event that an operator may want to investigate."""
        _LOGGER.warning("%s", self._line(sentence, fields))

    def error(self, sentence: str, **fields: object) -> None:
        """Log a failure that an operator has to act on."""
        _LOGGER.error("%s", self._line(sentence, fields))

    def _line(self, sentence: str, fields: dict[str, object]) -> str:
        tail = "".join(f" {name}={value}" for name, value in fields.items())
        return f"{self._prefix} {sentence}{tail}"
