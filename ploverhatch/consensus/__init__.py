"""The replicated log, held in memory by the voters of a cell."""
