"""The current configuration, compiled once per generation."""

from ploverhatch.policy.compiler import compile_policy
from ploverhatch.policy.diagnostics import PolicyError
from ploverhatch.policy.table import PolicyTable
from ploverhatch.state.configuration import ConfigurationState, ServerSpec


class CompiledConfiguration:
    """Policy table and servers of the newest known generation.

    Changes are checked before they are stored. If a policy that does not compile is
    stored nevertheless, the last valid one stays in force and ``faults`` is incremented.
    """

    def __init__(self) -> None:
        self.policy: PolicyTable | None = None
        self.servers: dict[str, ServerSpec] = {}
        self.faults = 0
        self._generation = 0
        self._source = ""

    def refresh(self, configuration: ConfigurationState) -> bool:
        """Adopt a configuration; return false if its generation is unchanged."""
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
