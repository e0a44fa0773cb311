"""The configuration in force, compiled once per generation."""

from ploverhatch.policy.compiler import compile_policy
from ploverhatch.policy.diagnostics import PolicyError
from ploverhatch.policy.table import PolicyTable
from ploverhatch.state.configuration import ConfigurationState, ServerSpec


class CompiledConfiguration:
    """Policy table and servers of the newest generation seen.

    Changes are checked before they are stored; should a bad policy come
    through all the same, the last good one stays and ``faults`` counts it.
    """

    def __init__(self) -> None:
        self.policy: PolicyTable | None = None
        self.servers: dict[str, ServerSpec] = {}
        self.faults = 0
        self._generation = 0
        self._source = ""

    def refresh(self, configuration: ConfigurationState) -> bool:
        """Compile a newer generation; false when there is none."""
        if configuration.generation == self._generation:
            return False
        self._generation = configuration.generation
        self.servers = configuration.servers()
        source = configuration.policy_source()
        if source != self._source:
            self._source = source
            self._compile(source)
        return True

    def _compile(self, source: str) -> None:
        if not source:
            self.policy = None
            return
        try:
            self.policy = compile_policy(source).table
        except PolicyError:
            self.faults += 1
