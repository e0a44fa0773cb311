"""Client for requests and control calls to back ends."""
