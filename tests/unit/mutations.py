"""Mutations of safety mechanisms; the simulation must detect each of them."""

from contextlib import contextmanager
from unittest import mock

from ploverhatch.common.timing import ControlTiming
from ploverhatch.consensus.replica import Replica
from ploverhatch.ownership.controller import OwnershipController
from ploverhatch.ownership.grant_book import THIS_SERVER, GrantBook, Verdict
from ploverhatch.routing import router_attempts
from ploverhatch.state.records import ClaimResult, RecordTable


def check_start_without_token(book, group, key_hash, token, now_ms, not_after_ms):
    held = book._held.find(group, key_hash)
    if now_ms >= book.expires_ms:
        return Verdict.LAPSED
    return Verdict.EXECUTE if held and held.server == THIS_SERVER else Verdict.NOT_OWNER


real_check_start = GrantBook.check_start


def check_start_without_expiry(book, group, key_hash, token, now_ms, not_after_ms):
    return real_check_start(book, group, key_hash, token, book.expires_ms - 1, not_after_ms)


def unresponsive_soon(_, session, now_ms):
    return not session.boot_id or now_ms - session.replied_ms >= 500


MUTATIONS = {
    "token not judged": [(GrantBook, "check_start", check_start_without_token)],
    "lease never lapses": [(GrantBook, "check_start", check_start_without_expiry)],
    "lapse not waited out": [
        (ControlTiming, "lease_bound_ms", property(lambda _: 100.0)),
        (OwnershipController, "_is_unresponsive", unresponsive_soon),
    ],
    "old grants not replaced": [
        (OwnershipController, "_forget_grants_of", lambda *_: None),
    ],
    "earlier leaders not fenced": [(GrantBook, "_admits", lambda *_: True)],
    "revoke not awaited": [(OwnershipController, "_source_released", lambda *_: True)],
    "claims not recorded": [(RecordTable, "claim", lambda *_: ClaimResult.CLAIMED)],
    "lost answers counted as not run": [(router_attempts, "_MAY_HAVE_RUN", frozenset())],
    "leader acts without a quorum": [
        (Replica, "has_lease", lambda replica, _: replica.is_leader),
        (Replica, "_lost_quorum", lambda *_: False),
        (ControlTiming, "lease_bound_ms", property(lambda _: 700.0)),
    ],
    "commit without a majority": [(Replica, "_majority", lambda _: 1)],
}


@contextmanager
def mutated(name):
    patches = [mock.patch.object(*change) for change in MUTATIONS[name]]
    for patch in patches:
        patch.start()
    try:
        yield
    finally:
        for patch in patches:
            patch.stop()
