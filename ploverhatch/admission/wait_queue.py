"""The order of the requests that wait for a slot of a group.

Requests are ordered by rank. Kinds of one rank alternate, so that a kind that bursts fills only
its own places; requests of one kind keep the order of their arrivals. This module does no I/O and
reads no clock.
"""

from collections import Counter
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from ploverhatch.admission.slot_requests import Requester, SlotRequest, Standing


class Rank(NamedTuple):
    """What orders requests before their arrivals do; the lowest goes first."""

    late: bool  # the answer is likely to miss the objective
    unguaranteed: bool  # no slot is guaranteed to the request
    priority: int
    overdue: bool  # the same as ``late`` for requests without an objective
    standing: Standing


@dataclass(slots=True)
class WaitQueue:
    """The waiting requests, in the order in which slots are granted."""

    _requests: list[SlotRequest] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[SlotRequest]:
        return iter(tuple(self._requests))

    def sort(self, rank: Callable[[SlotRequest], Rank]) -> None:
        """Put the requests in order by the ranks that they have now."""
        turns: Counter[tuple[Rank, str]] = Counter()
        keys = {}
        for request in self._requests:
            name = rank(request), request.kind
            keys[request.requester] = name[0], turns[name]
            turns[name] += 1
        self._requests.sort(key=lambda request: keys[request.requester])

    def ahead_of(
        self, request: SlotRequest, rank: Callable[[SlotRequest], Rank]
    ) -> list[SlotRequest]:
        """Return the requests that would go before one that arrives now; the queue is in order."""
        own_rank = rank(request)
        turns: Counter[tuple[Rank, str]] = Counter()
        own_turn = sum(
            other.kind == request.kind and rank(other) == own_rank for other in self._requests
        )
        ahead = []
        for other in self._requests:
            other_rank = rank(other)
            turn = turns[other_rank, other.kind]
            turns[other_rank, other.kind] += 1
            if (other_rank, turn) <= (own_rank, own_turn):
                ahead.append(other)
        return ahead

    def add(self, request: SlotRequest) -> None:
        """Add a request, at its place once the queue is sorted."""
        self._requests.append(request)

    def remove(self, requesters: Collection[Requester]) -> None:
        """Remove the requests of some requesters."""
        self._requests = [
            request for request in self._requests if request.requester not in requesters
        ]

    def clear(self) -> list[Requester]:
        """Remove all requests; return their requesters."""
        requesters = [request.requester for request in self._requests]
        self._requests = []
        return requesters
