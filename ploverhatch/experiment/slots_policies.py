"""Policies that choose a server for a request without a key, for `slots_world`.

Each policy is a class whose instance handles all requests of a simulated world. A decorator
registers the class under the name that tables show.
"""

import math
import random
from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from typing_extensions import override

from ploverhatch.admission import groups
from ploverhatch.admission.dispatcher import (
    Group,
)
from ploverhatch.admission.groups import GroupName
from ploverhatch.admission.slot_requests import (
    CallerAttempt,
    Requester,
    SlotGranted,
    SlotRejected,
    SlotRequest,
    SlotResult,
)
from ploverhatch.experiment.slots_world import SERVICE, Request, World
from ploverhatch.gateway.forwarder import (
    MAX_RETRY_AFTER_S,
    RETRY_AFTER_BUSY_S,
    USEFUL_FRACTION,
    WAIT_FRACTION,
)
from ploverhatch.gateway.shared_slots import (
    OWN_ZONE_WAIT_FRACTION,
)
from ploverhatch.gateway.slot_dispatch import (
    LEASE_MARGIN_MS,
)
from ploverhatch.routing import balancer
from ploverhatch.routing.answer_time import AnswerTime
from ploverhatch.routing.balancer import ServerLoad

VIEW_AGE_MS = 500.0
EXPIRE_EVERY_MS = 25.0

POLICIES: dict[str, type["Policy"]] = {}


def policy(name: str) -> Callable[[type["Policy"]], type["Policy"]]:
    """Return a decorator that registers a policy under a name."""

    def add(kind: type["Policy"]) -> type["Policy"]:
        POLICIES[name] = kind
        return kind

    return add


class Policy(ABC):
    """A way to choose servers for requests."""

    def __init__(self, world: World) -> None:
        self._world = world

    @abstractmethod
    def handle(self, request: Request) -> None:
        """Send a request to a server, at once or later, or reject it."""


@policy("by chance")
class WeightedRandom(Policy):
    """Chooses a random server, weighted by speed."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._ids = list(world.servers)
        self._speeds = [server.speed for server in world.servers.values()]

    @override
    def handle(self, request: Request) -> None:
        self._world.send(request, self._world.rng.choices(self._ids, self._speeds)[0])


@policy("two choices, 500 ms old")
class TwoChoices(WeightedRandom):
    """Chooses the less loaded of two random servers, by a shared view of up to ``VIEW_AGE_MS``."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._seen: dict[str, int] = {}
        self._seen_ms = -math.inf

    @override
    def handle(self, request: Request) -> None:
        world = self._world
        if world.now_ms - self._seen_ms >= VIEW_AGE_MS:
            self._seen = {name: server.present for name, server in world.servers.items()}
            self._seen_ms = world.now_ms
        drawn = world.rng.choices(self._ids, self._speeds, k=2)
        chosen = min(drawn, key=lambda name: (self._seen[name] + 1) / world.servers[name].speed)
        world.send(request, chosen)


@policy("cheapest, each node's own view")
class Cheapest(Policy):
    """Chooses as a gateway does without a shared slot, by its own answer times and requests."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._times: dict[int, dict[str, AnswerTime]] = defaultdict(lambda: defaultdict(AnswerTime))
        self._in_flight: dict[int, dict[str, int]] = defaultdict(lambda: defaultdict(int))
        self._rng = random.Random(world.scenario.seed)

    @override
    def handle(self, request: Request) -> None:
        world, times = self._world, self._times[request.node]
        in_flight = self._in_flight[request.node]
        known = [time.mean_ms for time in times.values() if time.count]
        usual_ms = sum(known) / len(known) if known else world.scenario.service_ms
        zone = world.zone(request.node)
        loads = [
            ServerLoad(
                name,
                world.scenario.slots,
                in_flight[name],
                times[name].mean_ms if name in times and times[name].count else usual_ms,
                0.0,
                server.record.zone == zone,
                cold=False,
                failing=False,
            )
            for name, server in world.servers.items()
        ]
        jitter = {load.server_id: self._rng.uniform(0.85, 1.15) for load in loads}
        chosen = balancer.choose(loads, jitter) or ""
        in_flight[chosen] += 1

        def ended(_request: Request, took_ms: float) -> None:
            in_flight[chosen] -= 1
            if took_ms < math.inf:
                times[chosen].add(took_ms)

        request.on_ended = ended
        world.send(request, chosen)


@policy("shared slots")
class SharedSlots(Policy):
    """Uses the dispatchers of the product; messages are delayed but never lost."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        records = [server.record for server in world.servers.values()]
        self._sizes = groups.groups_of(records)
        self._groups = {name: Group() for name in self._sizes}
        for name, group in self._groups.items():
            group.set_members(groups.members_of(name, records), 0.0)
        self._waiting: dict[int, tuple[Request, GroupName, SlotRequest, list[GroupName]]] = {}
        world.later(EXPIRE_EVERY_MS, self._expire)

    def _expire(self) -> None:
        self._world.later(EXPIRE_EVERY_MS, self._expire)
        for group in self._groups.values():
            self._send_results(group.expire(self._world.now_ms))

    @override
    def handle(self, request: Request) -> None:
        world, kind = self._world, request.kind
        zone = world.zone(request.node)
        candidates = [name for name in self._sizes if name.zone in {"", zone}]
        others = [name for name in self._sizes if name not in candidates]
        if others:
            weights = [self._sizes[name] for name in others]
            candidates.append(world.rng.choices(others, weights)[0])
        left_ms = request.deadline_ms - request.arrived_ms
        slot_request = SlotRequest(
            Requester((SERVICE, 0), request.number),
            priority=kind.priority,
            useful_until_ms=request.arrived_ms + kind.objective_ms * USEFUL_FRACTION,
            expires_ms=request.arrived_ms + left_ms * WAIT_FRACTION,
            lease_ms=left_ms + LEASE_MARGIN_MS,
            zone=zone,
            deadline_ms=request.deadline_ms,
            objective_ms=kind.objective_ms,
            in_time_until_ms=request.first_ms + kind.objective_ms,
            attempt=CallerAttempt(round(request.first_ms * 1000), left_ms, request.deadline_ms),
            kind=kind.route or kind.name,
        )
        self._request_slot(request, slot_request, candidates)

    def _request_slot(
        self, request: Request, slot_request: SlotRequest, names: list[GroupName]
    ) -> None:
        name, others_left = names[0], names[1:]
        fraction = OWN_ZONE_WAIT_FRACTION if others_left else 1.0
        now_ms = self._world.now_ms
        until_ms = now_ms + (slot_request.expires_ms - now_ms) * fraction
        bounded = replace(
            slot_request,
            expires_ms=until_ms,
            useful_until_ms=min(slot_request.useful_until_ms, until_ms),
        )
        self._waiting[request.number] = (request, name, slot_request, others_left)
        self._world.later(
            self._world.scenario.hop_ms,
            lambda: self._send_results(
                self._groups[name].request_slot(bounded, self._world.now_ms)
            ),
        )

    def _send_results(self, results: list[SlotResult]) -> None:
        for result in results:
            if isinstance(result, SlotGranted | SlotRejected):
                entry = self._waiting.pop(result.requester.number)
                self._world.later(
                    self._world.scenario.hop_ms,
                    partial(self._handle_result, result, *entry),
                )

    def _handle_result(
        self,
        result: SlotGranted | SlotRejected,
        request: Request,
        name: GroupName,
        slot_request: SlotRequest,
        others_left: list[GroupName],
    ) -> None:
        world = self._world
        if isinstance(result, SlotRejected):
            if others_left:
                self._request_slot(request, slot_request, others_left)
            else:
                retry_after_ms = max(result.retry_after_ms, RETRY_AFTER_BUSY_S * 1000)
                world.reject(request, min(retry_after_ms, MAX_RETRY_AFTER_S * 1000))
            return
        sent_ms = world.now_ms

        def ended(ended: Request, took_ms: float) -> None:
            service_ms = 0.0 if took_ms == math.inf else world.now_ms - sent_ms
            requester = Requester((SERVICE, 0), ended.number)
            world.later(
                world.scenario.hop_ms,
                lambda: self._send_results(
                    self._groups[name].release(
                        requester, service_ms, took_ms == math.inf, world.now_ms
                    )
                ),
            )

        request.on_ended = ended
        world.send(request, result.server_id)
