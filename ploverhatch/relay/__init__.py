"""The leader tells the other nodes of changes in the store, so that they need not ask. Pure."""
