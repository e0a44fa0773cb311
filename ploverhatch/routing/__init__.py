"""Decisions about one request: admission, retries, outcome."""
