"""Experiments in virtual time over the real placement code, with baselines."""
