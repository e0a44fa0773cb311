"""Server entries that a writer other than a gateway may store, each malformed in one way."""

import copy


def malformed_record(upstream, service, change):
    """Return spec and status of an upstream's entry after a change by such a writer."""
    spec, status = upstream.record(service)
    entry = {"spec": copy.deepcopy(spec), "status": copy.deepcopy(status)}
    change(entry)
    return entry["spec"], entry["status"]


def _without(*path):
    def change(entry):
        part = entry
        for name in path[:-1]:
            part = part[name]
        del part[path[-1]]

    return change


def _with(value, *path):
    def change(entry):
        part = entry
        for name in path[:-1]:
            part = part[name]
        part[path[-1]] = value

    return change


CHANGES = {
    "list": _with(["a"], "spec"),
    "text": _with("\u0000\ud83d\ufffd", "spec"),
    "nothing": _with(None, "spec"),
    "status-text": _with("ready", "status"),
    "both": lambda entry: entry.update(spec=[1], status="x"),
    "no-address": _without("spec", "address"),
    "address-number": _with(80, "spec", "address"),
    "address-name": _with("localhost", "spec", "address"),
    "address-port": _with("127.0.0.1:99999", "spec", "address"),
    "no-info": _without("spec", "info"),
    "info-text": _with("plain", "spec", "info"),
    "no-service": _without("spec", "info", "service"),
    "service-number": _with(7, "spec", "info", "service"),
    "service-unknown": _with("elsewhere", "spec", "info", "service"),
    "no-zone": _without("spec", "info", "zone"),
    "zone-list": _with(["z1"], "spec", "info", "zone"),
    "no-slots": _without("spec", "info", "slots"),
    "slots-text": _with("4", "spec", "info", "slots"),
    "slots-none": _with(0, "spec", "info", "slots"),
    "slots-negative": _with(-1, "spec", "info", "slots"),
    "slots-huge": _with(10**30, "spec", "info", "slots"),
    "slots-yes": _with(True, "spec", "info", "slots"),
    "no-state": _without("status", "state"),
    "state-unknown": _with("resting", "status", "state"),
    "state-number": _with(1, "status", "state"),
    "cold-text": _with("0", "status", "cold_remaining_ms"),
    "cold-negative": _with(-5, "status", "cold_remaining_ms"),
    "born-text": _with("1764730000000", "spec", "born"),
    "born-fraction": _with(1764730000000.5, "spec", "born"),
}
