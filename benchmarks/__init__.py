"""Measurements over separate processes. Figures are ratios within one run."""
