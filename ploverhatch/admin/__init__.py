"""Administration API."""
