"""The control role: consensus, leases, placement and voters, as one pure core."""
