"""Kinds and names of the objects that a gateway reads and writes.

An implementation of the store may map a kind to another name.
"""

CONFIGURATION = "configuration"  # written by operators; one object
SERVERS = "servers"  # written by servers, one object per server id
EVACUATIONS = "evacuations"  # written by operators; one object per zone to evacuate
KEYMAPS = "keymaps"  # written by the leader, one object per service
LEASES = "leases"  # the leader's lease, and one object per node

QUARANTINE = "quarantine"  # written by the leader; one object

LEADER_LEASE = "leader"
QUARANTINED_REQUESTS = "held"
