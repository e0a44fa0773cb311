"""A gateway process: takes callers' requests and sends each to one server."""
