"""Load generation, benchmarks and slopes."""
