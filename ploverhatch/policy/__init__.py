"""The policy language and its compiler."""
