"""Prometheus metrics of a node, in a registry of their own."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from ploverhatch.common.results import Result

LATENCY_BUCKETS_S = (0.001, 0.002, 0.004, 0.008, 0.013, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 3, 10)


class RouterMetrics:
    """Metrics of the request path."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._requests = Counter(
            "ploverhatch_requests",
            "Requests by group and result.",
            ["group", "result"],
            registry=registry,
        )
        self._latency = Histogram(
            "ploverhatch_request_seconds",
            "Time to answer.",
            ["group"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.attempts = Counter(
            "ploverhatch_failed_attempts",
            "Attempts by end and refusal.",
            ["end", "refusal"],
            registry=registry,
        )
        self.unsettled = Counter(
            "ploverhatch_unsettled_records",
            "Records that could not be completed.",
            registry=registry,
        )

    def observe(self, group: str, result: Result, took_ms: float) -> None:
        """Count an answered request."""
        self._requests.labels(group, result.name).inc()
        self._latency.labels(group).observe(took_ms / 1000)


class NodeMetrics:
    """Registry and gauges of a node."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.router = RouterMetrics(self.registry)
        self.generation = Gauge(
            "ploverhatch_generation", "Configuration generation in force.", registry=self.registry
        )
        self.index = Gauge(
            "ploverhatch_state_index", "Log index of the state.", registry=self.registry
        )
        self.leading = Gauge(
            "ploverhatch_leading", "One while this node leads its cell.", registry=self.registry
        )
        self.peers = Gauge(
            "ploverhatch_peer_counters",
            "Counters of the connections to nodes.",
            ["counter"],
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return the Prometheus text form."""
        return bytes(generate_latest(self.registry))
