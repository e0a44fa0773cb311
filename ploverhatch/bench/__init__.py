"""Load generation, evaluation of runs, and cost measurements."""
