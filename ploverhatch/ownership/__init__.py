"""Which server owns which slice: state, placement and leases."""
