"""The replicated state and the commands that change it."""
