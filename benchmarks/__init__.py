"""Benchmarks with separate processes. Compare results only within one run, as ratios."""
