"""Restores of the store from a copy that is some seconds old, after a short outage."""

import gevent

# Kinds that gateways write: a restore loses their changes since the copy.
GATEWAY_KINDS = ("leases", "keymaps")


def restore_store(store, copy, watches_end=True, servers_after_s=0.0):
    """Restore a store from a copy, then repeat the later changes of operators and servers.

    :param watches_end: whether waiting watches end at once, as in ``MetadataStore.restore``.
    :param servers_after_s: delay after which the entries of servers are written again.
    """
    current = {key: item for key, item in store.objects.items() if key[0] not in GATEWAY_KINDS}
    store.restore(copy, watches_end)
    for key, item in current.items():
        if store.objects.get(key) != item:
            after_s = servers_after_s if key[0] == "servers" else 0.0
            if after_s:
                gevent.spawn_later(after_s, store.put, *key, item["spec"], item["status"])
            else:
                store.put(*key, item["spec"], item["status"])
    for key in [key for key in store.objects if key[0] not in GATEWAY_KINDS and key not in current]:
        store.remove(*key)
