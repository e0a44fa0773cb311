"""Mutations that switch off safety mechanisms of the key leadership.

With each of them, the simulation has to find a violation.
"""

import math
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from unittest import mock

from ploverhatch.leadership import election
from ploverhatch.sharding import holders, leader_core, view
from ploverhatch.sharding.leader_core import LeaderCore, _ServiceState
from ploverhatch.sharding.messages import CallOutcome
from ploverhatch.sharding.transfer import Transfer
from ploverhatch.simulation.keys.node import SimKeyNode


def start_without_waiting(cls, name, item, leases, now_ms):
    return cls(name, item.holder, {}, {})


def release_answered_at_once(self, server_id, now_ms):
    self.released(server_id, "")


def take_over_at_once(state, now_ms):
    return not state.leading


def always_authority(state, now_ms):
    return state.leading


def observe_renewal_without_stopping(state, lease_revision, renewed_ms, address=""):
    observed = _observe_renewal(state, lease_revision, renewed_ms, address)
    return replace(observed, leading=state.leading)


_observe_renewal = election.observe_renewal


def inherit_nothing(self, keymap, renewable_until_ms, now_ms, same_incarnations=True):
    state = self._services.setdefault(keymap.service, _ServiceState(keymap))
    self._adopt(state, keymap, now_ms)


def forget_standbys(keymap):
    ranges = tuple(replace(item, standbys=(), former_standbys=()) for item in keymap.ranges)
    return replace(keymap, ranges=ranges)


def adopt_late_map_as_it_is(self, keymap, now_ms):
    state = self._state(keymap.service)
    if state.storing is None and keymap.revision > state.keymap.revision:
        state.stored = None
        self._adopt_stored(state, keymap, now_ms)
    return False


def refused_release_ends_standby(self, call, outcome, handover, now_ms):
    state = self._services.get(call.range_id.service)
    transfer = state.transfers.get(call.range_id) if state else None
    standby = transfer is not None and call.holder.server_id in transfer.former_standbys
    if outcome is CallOutcome.NOT_LISTENING and standby:
        transfer.released(call.holder.server_id, "")
    return _release_ended(self, call, outcome, handover, now_ms)


_release_ended = LeaderCore.release_ended


# The wait for nodes that use an old map would cover up faults of other mechanisms.
NO_WAIT_FOR_OLD_MAPS = mock.patch.object(view, "unused_from_ms", lambda changed_ms: changed_ms)


def steady_clock(self):
    return self.clock.read() - self.suspended_ms


def keep_for_ever(self):
    return math.inf


MUTATIONS = {
    "lapse not waited out": [
        mock.patch.object(Transfer, "start", classmethod(start_without_waiting))
    ],
    "release not awaited": [
        mock.patch.object(Transfer, "release_failed", release_answered_at_once)
    ],
    "server's slow clock not allowed for": [
        NO_WAIT_FOR_OLD_MAPS,
        mock.patch.object(holders, "CLOCK_DRIFT", 0.4),
        mock.patch.object(holders, "EXPIRY_MARGIN_MS", 0.0),
    ],
    "leases of the last leader not inherited": [
        NO_WAIT_FOR_OLD_MAPS,
        mock.patch.object(LeaderCore, "inherit", inherit_nothing),
    ],
    # A replaced leader also stops when it learns of its successor; this is switched off too.
    "suspensions not counted": [
        mock.patch.object(election, "observe_renewal", observe_renewal_without_stopping),
        mock.patch.object(SimKeyNode, "now_ms", property(steady_clock)),
    ],
    "standbys of the last leader not released": [
        mock.patch.object(leader_core, "inherited", forget_standbys)
    ],
    "late map adopted without the known holders": [
        mock.patch.object(LeaderCore, "map_seen", adopt_late_map_as_it_is)
    ],
    "refused release not waited out": [
        mock.patch.object(LeaderCore, "release_ended", refused_release_ends_standby)
    ],
    "unanswered grants not discarded": [
        mock.patch.object(holders.LeaseTiming, "discard_ms", property(keep_for_ever))
    ],
    "old maps trusted": [mock.patch.object(view, "map_is_trusted", lambda *args: True)],
    "leader acts past its authority": [
        mock.patch.object(election, "observe_renewal", observe_renewal_without_stopping),
        mock.patch.object(election, "has_authority", always_authority),
        mock.patch.object(election, "may_change", always_authority),
    ],
}


@contextmanager
def mutated(name):
    with ExitStack() as stack:
        for patch in MUTATIONS[name]:
            stack.enter_context(patch)
        yield
