"""A store that drops its history repeatedly."""

import gevent

from tests.standin.site import StandinSite

MEASURED_S = 2.0
MAX_LISTINGS = 15 * MEASURED_S  # 15 a second, of one kind and by one node


# Guards against nodes that list the kind 60 times a second while the store answers each of their
# watches with the error that it has dropped its history.
def test_a_store_whose_listings_do_not_help_is_not_flooded():
    site = StandinSite(gateways=1, keyed=1, plain=1)
    try:
        with gevent.Timeout(10.0):
            while not site.gateways[0].started():
                gevent.sleep(0.05)
        gevent.sleep(2.0)
        site.store.watches_ended += 1
        site.store.wake()
        site.store.compacted = 1 << 39  # later than any revision that is listed
        gevent.sleep(0.5)
        before = len(site.store.calls)
        gevent.sleep(MEASURED_S)
        calls = site.store.calls[before:]
        listings = [call for call in calls if call[1] == "config" and "watch" not in call[3]]
        assert 0 < len(listings) <= MAX_LISTINGS
    finally:
        site.close()
