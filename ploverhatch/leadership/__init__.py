"""Leader election by a lease object in a store with compare-and-set."""
