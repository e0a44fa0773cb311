"""Decisions about a single request: admission, retries and its outcome."""
