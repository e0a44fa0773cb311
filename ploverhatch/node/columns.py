"""Conversion between load reports and their columns on the wire."""

from ploverhatch.routing.load_meter import Rates
from ploverhatch.transport import wire


def to_columns(rates: Rates) -> wire.LoadColumns:
    """Encode rates in requests per second, keyed by (group, hash)."""
    groups = sorted({group for group, _ in rates})
    positions = {group: position for position, group in enumerate(groups)}
    return wire.LoadColumns(
        groups=groups,
        group=[positions[group] for group, _ in rates],
        hash=[key_hash for _, key_hash in rates],
        rate=list(rates.values()),
    )


def from_columns(columns: wire.LoadColumns) -> Rates:
    """Decode rates in requests per second, keyed by (group, hash)."""
    rows = zip(columns.group, columns.hash, columns.rate, strict=True)
    return {(columns.groups[group], key_hash): rate for group, key_hash, rate in rows}
