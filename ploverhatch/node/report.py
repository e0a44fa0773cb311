"""Report of a node on its cell, for operators."""

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.node.control import ControlTask
from ploverhatch.node.view import StateView
from ploverhatch.transport import wire


def cluster_report(
    control: ControlTask, view: StateView, leader_id: str, node_id: str
) -> wire.ClusterReport:
    """Build a report; only the leader lists nodes and servers."""
    now_ms = elapsed_ms()
    nodes = [
        wire.NodeProgress(
            node_id=status.member.node_id,
            zone=status.member.zone,
            generation=status.generation,
            applied_index=status.applied_index,
            age_ms=int(now_ms - reported_ms),
        )
        for reported_ms, status in control.core.nodes.values()
    ]
    servers = []
    controller = control.core.controller
    if controller is not None:
        owned: dict[str, int] = {}
        for item in view.state.assignments:
            owned[item.server] = owned.get(item.server, 0) + 1
        servers = [
            wire.ServerProgress(
                server=name,
                condition=controller.condition(name, now_ms).value,
                granted=owned.get(name, 0),
            )
            for name in sorted(controller.sessions)
        ]
    return wire.ClusterReport(
        node_id=node_id,
        leader_id=leader_id,
        epoch=view.state.epoch,
        term=control.replica.term,
        generation=view.state.configuration.generation,
        voters=list(view.state.membership.voters),
        nodes=nodes if controller is not None else [],
        servers=servers,
    )
