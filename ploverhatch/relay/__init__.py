"""The leader's relay: it sends changes of the store to the other nodes, so that they need not ask.

The modules of this package do no I/O and read no clock.
"""
