"""Whether a server is silent, or only the links of some nodes to it are cut, at a dispatcher.

A server that is silent to one node and answers others is a link that is cut, which must cost that
node alone. So requests that fail show something of the server only if they come from two nodes
whose links aren't known as cut, with no answer to any node in between, or if no other node has had
an answer lately. This module does no I/O and reads no clock. Times are elapsed milliseconds.
"""

import math
from dataclasses import dataclass, field
from typing import NamedTuple

Node = tuple[str, int]  # the address of a node

# Requests without an answer after which a server is silent, in a row and of one node if no other
# has had an answer lately, else of as many nodes as FAILING_NODES.
UNRESPONSIVE_AFTER_REQUESTS = 2
FAILING_NODES = 2
# How long an answer shows that a server isn't silent to all nodes. Less would blame a server for
# cut links while the others seldom use it; more would delay the discovery of a dead one.
ANSWERS_OTHERS_MS = 1000.0
# A link is no longer known as cut if none of its requests failed for so long.
CUT_LINK_KEPT_MS = 5000.0


class _Answer(NamedTuple):
    node: Node | None
    at_ms: float


_NO_ANSWER = _Answer(None, -math.inf)


@dataclass(slots=True)
class _Link:
    """The requests of one node that failed since it last had an answer."""

    failed_ms: float = -math.inf  # the last one
    is_cut: bool = False  # another node has had an answer since one of them
    # Since any node had an answer.
    failed: int = 0
    unanswered: int = 0


@dataclass(slots=True)
class ServerSilence:
    """The failed requests of all nodes to one server, since their last answers."""

    _links: dict[Node, _Link] = field(default_factory=dict)
    _last_answer: _Answer = _NO_ANSWER
    _last_answer_elsewhere: _Answer = _NO_ANSWER  # the last one to a node other than that
    _failed_ms: float = -math.inf  # the last failure that concerns all nodes
    _failed_nodes: frozenset[Node] = frozenset()  # the nodes whose requests show it

    def note_answer(self, node: Node, now_ms: float) -> None:
        """Record that a node's request was answered; links whose requests failed are cut."""
        self._links.pop(node, None)
        if self._last_answer.node != node:
            self._last_answer_elsewhere = self._last_answer
        self._last_answer = _Answer(node, now_ms)
        if node not in self._failed_nodes:
            self._failed_ms = -math.inf
        for other, link in list(self._links.items()):
            if now_ms - link.failed_ms > CUT_LINK_KEPT_MS:
                del self._links[other]
            link.is_cut = True
            link.failed = link.unanswered = 0

    def note_failure(self, node: Node, unanswered: bool, granted_ms: float, now_ms: float) -> None:
        """Record that a node's request failed.

        :param unanswered: whether it got no answer at all. A broken connection is no answer either,
            but the server isn't silent.
        :param granted_ms: when it was sent.
        """
        link = self._links.setdefault(node, _Link())
        link.failed_ms = now_ms
        link.failed += 1
        if unanswered:
            link.unanswered += 1
        else:
            for other in self._links.values():
                other.unanswered = 0
        if self._concerns_all(node, granted_ms, now_ms):
            self._failed_ms = now_ms
            self._failed_nodes = frozenset(
                name for name, known in self._links.items() if known.failed
            )

    def is_silent(self, now_ms: float) -> bool:
        """Return whether requests got no answer that show that the server answers no node."""
        silent = {node: link for node, link in self._links.items() if link.unanswered}
        if sum(not link.is_cut for link in silent.values()) >= FAILING_NODES:
            return True
        return any(
            link.unanswered >= UNRESPONSIVE_AFTER_REQUESTS
            and not self._answers_others(node, now_ms - ANSWERS_OTHERS_MS)
            for node, link in silent.items()
        )

    def is_cut(self, node: Node, now_ms: float) -> bool:
        """Return whether the server answers other nodes, but not this one."""
        link = self._links.get(node)
        return (
            link is not None
            and link.is_cut
            and self._answers_others(node, now_ms - ANSWERS_OTHERS_MS)
        )

    def failed_ms(self, node: Node) -> float:
        """Return when requests last failed that show that a node should avoid the server."""
        link = self._links.get(node)
        return max(self._failed_ms, link.failed_ms) if link else self._failed_ms

    def _concerns_all(self, node: Node, granted_ms: float, now_ms: float) -> bool:
        """Return whether the failure of a node's request shows something of the server."""
        if not self._answers_others(node, min(granted_ms, now_ms - ANSWERS_OTHERS_MS)):
            return True
        failing = {name for name, link in self._links.items() if link.failed and not link.is_cut}
        return node in failing and len(failing) >= FAILING_NODES

    def _answers_others(self, node: Node, since_ms: float) -> bool:
        """Return whether a node other than this one has had an answer since a time."""
        is_last = self._last_answer.node == node
        answer = self._last_answer_elsewhere if is_last else self._last_answer
        return answer.at_ms > since_ms
