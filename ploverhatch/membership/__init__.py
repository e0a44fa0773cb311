"""Which nodes belong to a cell and which of them vote."""
