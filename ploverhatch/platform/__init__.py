"""Translation between ploverhatch and the users' platform, and nothing else."""
