"""Kinds of objects that a gateway reads and writes, in the product's words."""

CONFIGURATION = "configuration"  # written by operators; one object
SERVERS = "servers"  # written by servers, one object per life
EVACUATIONS = "evacuations"  # written by operators; one object per zone that is to be empty
KEYMAPS = "keymaps"  # written by the leader, one object per service
LEASES = "leases"  # the leader's lease, and one object per node

QUARANTINE = "quarantine"  # written by the leader; one object

LEADER_LEASE = "leader"
QUARANTINED_REQUESTS = "held"
