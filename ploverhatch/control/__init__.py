"""The control role: consensus, leases, placement and voters in one core without I/O."""
