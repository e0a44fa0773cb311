"""Experiments in virtual time with the placement code of the product, and baselines."""
