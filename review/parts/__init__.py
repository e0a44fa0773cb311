"""Stand-ins for the scripts of the second review; written for it, without dependencies."""
