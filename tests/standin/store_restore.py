"""Drills: the store is away for a moment, and comes back as it was some seconds before."""

import gevent

GATEWAY_KINDS = ("leases", "keymaps")  # that gateways write; what they wrote since is lost


def restore_store(store, copy, watches_end=True, servers_after_s=0.0):
    """Restore a store from its copy; what operators and servers wrote since is written again.

    :param servers_after_s: when servers write again.
    """
    written = {key: item for key, item in store.objects.items() if key[0] not in GATEWAY_KINDS}
    store.restore(copy, watches_end)
    for key, item in written.items():
        if store.objects.get(key) != item:
            after_s = servers_after_s if key[0] == "servers" else 0.0
            if after_s:
                gevent.spawn_later(after_s, store.put, *key, item["spec"], item["status"])
            else:
                store.put(*key, item["spec"], item["status"])
    for key in [key for key in store.objects if key[0] not in GATEWAY_KINDS and key not in written]:
        store.remove(*key)
