"""Assignment of key ranges to servers, and its changes."""
