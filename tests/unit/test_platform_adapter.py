"""Tests of the platform's adapter, and a check that only it knows the platform's names."""

import re
from pathlib import Path

import pytest

import ploverhatch
from ploverhatch.gateway.dialect import (
    GrantCall,
    GrantRefusedError,
    MalformedRequestError,
    OtherInstanceError,
    ReleaseCall,
)
from ploverhatch.gateway.messages import CallerRequest, RequestFacts
from ploverhatch.gateway.settings import MAX_CONNECTED
from ploverhatch.platform.dialect import PlatformDialect
from ploverhatch.platform.documents import DocumentError, PlatformTranslation, route_table
from ploverhatch.platform.settings import (
    SettingsFile,
    SettingsFileError,
    parse_settings,
    read_settings,
)
from ploverhatch.routing.gateway_attempts import AttemptResult
from ploverhatch.store.objects import VersionedObject
from ploverhatch.transport.http_connection import HostPort, WireAnswer

ROOT = Path(ploverhatch.__file__).parent
NAMES = re.compile(
    r"virtual_hosts|route_paths|Response-Seal|Not-Executed|Expect-Instance|Shard-Key"
    r"|cold_remaining_ms|call_seq|target_version|weighted_split|self_node|PLOVERHATCH_NODE_FILE",
    re.IGNORECASE,
)

SETTINGS = b"""
[self_node]
node = "front-1"
ip = "10.1.0.34"
zone = "z1"
something_new = true
[self_node.limits]
max_fds = 4100
[network]
internal_ports = [7540, 7555]
seed_nodes = ["10.1.0.34:8544"]
[network.listen_addrs]
front = "10.1.0.34:8548"
ready = "10.1.0.34:8542"
[platform.platform]
address = "10.200.1.7:8541"
[terms.bounds]
grace_s = 6
retry_budget_ratio = 0.2
hold_max_ms = 10000
"""


def test_only_the_adapter_knows_the_platforms_names():
    found = [
        str(path)
        for path in ROOT.rglob("*.py")
        if path.relative_to(ROOT).parts[0] != "platform" and NAMES.search(path.read_text())
    ]
    assert found == []


def test_settings_of_deployments_that_evacuate_zones_and_have_regions():
    text = SETTINGS.replace(b"hold_max_ms = 10000", b"evacuate_ms = 5000")
    text = text.replace(b"[network.listen", b'[network.zones]\nz1 = "north"\n[network.listen')
    settings = parse_settings(text)
    assert (settings.evacuate_ms, settings.zone_regions) == (5000.0, {"z1": "north"})
    plain = parse_settings(SETTINGS)
    assert (plain.evacuate_ms, plain.zone_regions) == (0.0, {})


@pytest.mark.parametrize(
    ("limits", "strength"),
    [(b"", 1.0), (b"link_mbps = 10", 0.2), (b"cpu_share = 0.4", 0.8), (b"cpu_cores = 3", 1.0)],
)
def test_strength_of_a_machine_as_a_leader(limits, strength):
    text = SETTINGS.replace(b"max_fds = 4100", limits)
    assert parse_settings(text).strength == pytest.approx(strength)


def test_settings():
    settings = parse_settings(SETTINGS)
    assert settings.callers == HostPort("10.1.0.34", 8548)
    assert settings.store == HostPort("10.200.1.7", 8541)
    assert (settings.node, settings.zone, settings.peer_port) == ("front-1", "z1", 7540)
    assert (settings.grace_s, settings.lease_max_ms) == (6.0, 10_000.0)
    assert settings.max_descriptors == 4100


def test_how_many_connected_servers_are_told_can_be_set():
    assert parse_settings(SETTINGS).max_connected == MAX_CONNECTED
    text = SETTINGS + b"\n[server_connections]\nmax_told = 0\n"
    assert parse_settings(text).max_connected == 0
    with pytest.raises(SettingsFileError, match="max_told"):
        parse_settings(text.replace(b"= 0\n", b"= -1\n"))


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ((b'ip = "10.1.0.34"', b""), "ip"),
        ((b"grace_s = 6", b'grace_s = "six"'), "grace_s"),
        ((b'front = "10.1.0.34:8548"', b'front = "nowhere"'), "nowhere"),
        ((b"[self_node]", b"[self_node"), "line"),
    ],
)
def test_wrong_settings_are_named(change, named):
    with pytest.raises(SettingsFileError, match=named):
        parse_settings(SETTINGS.replace(*change))


def test_settings_of_admission():
    assert parse_settings(SETTINGS).admission.by_objective
    text = SETTINGS + b"\n[admission]\nby_objective = false\nleast_share = 0.2\n"
    settings = parse_settings(text).admission
    assert (settings.by_objective, settings.least_share) == (False, 0.2)


@pytest.mark.parametrize("value", [b"-0.1", b"0.6", b"nan", b'"much"'])
def test_wrong_settings_of_admission_are_named(value):
    with pytest.raises(SettingsFileError, match="least_share"):
        parse_settings(SETTINGS + b"\n[admission]\nleast_share = " + value)


def test_a_changed_settings_file_is_noticed(tmp_path):
    path = tmp_path / "node.toml"
    path.write_bytes(SETTINGS)
    source = SettingsFile(str(path))
    assert source.read().grace_s == 6.0
    assert not source.changed()
    path.write_bytes(SETTINGS.replace(b"grace_s = 6", b"grace_s = 16"))
    assert source.changed()
    assert source.read().grace_s == 16.0
    assert not source.changed()


def test_missing_settings_file(tmp_path):
    with pytest.raises(SettingsFileError, match="No such file"):
        read_settings(str(tmp_path / "none.toml"))


ROUTE = {
    "name": "r1",
    "path_prefix": "/a/",
    "kind": "safe",
    "timeout_ms": 1000,
    "target_latency_ms": 500,
    "priority": 2,
    "max_attempts": 2,
    "weighted_split": [{"service": "x", "weight": 9}, {"service": "y", "weight": 1}],
}
CONFIG = {
    "version": "0000000c",
    "services": [{"name": "x", "max_connections": 110, "sharded": True, "warm_s": 2.0}],
    "limits": {"max_header_bytes": 100, "idle_timeout_ms": 15000},
    "virtual_hosts": [{"host": "H.example", "route_paths": [ROUTE]}],
}


def test_configuration():
    table = route_table(CONFIG)
    assert table.version == 12
    found = table.match(b"h.example", b"/a/b")
    assert [(share.service, share.weight) for share in found.shares] == [("x", 9), ("y", 1)]
    assert (found.repeatable, found.max_attempts, found.priority) == (True, 2, 2)
    assert table.services["x"].partitioned
    assert table.limits.header_bytes == 100


def test_the_regions_that_a_route_allows():
    (host,) = CONFIG["virtual_hosts"]
    (first, *_) = host["route_paths"]
    routes = [{**first, "allowed_regions": ["r1", "r2"]}, {**first, "path_prefix": "/all/"}]
    table = route_table({**CONFIG, "virtual_hosts": [{**host, "route_paths": routes}]})
    (found,) = table.hosts.values()
    assert [route.regions for route in found] == [{"r1", "r2"}, set()]


def test_what_a_service_says_of_cold_servers():
    services = [{"name": "x", "cold_start_s": 3.0, "cold_per_s": 6.7}, {"name": "y"}]
    table = route_table({**CONFIG, "services": services})
    assert (table.services["x"].cold_ms, table.services["x"].cold_per_s) == (3000.0, 6.7)
    assert table.services["y"].cold_per_s == 0.0


@pytest.mark.parametrize("key", ["version", "services", "virtual_hosts"])
def test_incomplete_configuration(key):
    with pytest.raises(DocumentError, match=key):
        route_table({name: value for name, value in CONFIG.items() if name != key})


def test_objects_that_cannot_be_read_are_left_out():
    translation = PlatformTranslation()
    assert translation.configuration(VersionedObject("main", 1, {"version": 1})) is None
    assert translation.configuration(VersionedObject("other", 1, CONFIG)) is None
    assert translation.server(VersionedObject("s", 1, {"address": 5})) is None
    info = {"service": "x", "version": "v1", "zone": "z", "slots": 2}
    record = translation.server(
        VersionedObject(
            "s",
            1,
            {"address": "10.0.0.1:80", "info": info},
            {"state": "draining", "call_seq": 3, "cold_remaining_ms": 10},
        )
    )
    assert (record.draining, record.slots, record.port) == (True, 2, 80)


FACTS = RequestFacts(b"h", b"r1", 100.0, None)
SEALED = [(b"Request-Id", b"r1"), (b"Response-Seal", b"s")]
CLASSIFIED_ANSWERS = [
    (200, SEALED, AttemptResult.ANSWERED),
    (404, SEALED, AttemptResult.ANSWERED),
    (500, SEALED, AttemptResult.SERVER_ERROR),
    (504, SEALED, AttemptResult.SERVER_ERROR),
    (200, SEALED[:1], AttemptResult.LOST),
    (200, SEALED[1:], AttemptResult.LOST),
    (500, SEALED[:1], AttemptResult.LOST),
    (200, [(b"Request-Id", b"r2"), (b"Response-Seal", b"s")], AttemptResult.LOST),
    (503, [(b"Request-Id", b"r2"), (b"Not-Executed", b"1")], AttemptResult.LOST),
    (503, [(b"Request-Id", b"r1"), (b"Not-Executed", b"1")], AttemptResult.DECLINED),
    (503, SEALED[:1], AttemptResult.LOST),
    (421, [(b"Not-Executed", b"1")], AttemptResult.NOT_HOLDER),
    (421, [(b"Instance-Id", b"me"), (b"Not-Executed", b"1")], AttemptResult.NOT_HOLDER),
    (421, [(b"Instance-Id", b"other")], AttemptResult.WRONG_INSTANCE),
    (421, [(b"Instance-Id", b"other"), (b"Not-Executed", b"1")], AttemptResult.WRONG_INSTANCE),
    # Only Not-Executed, or the id of another instance, proves that a request has not run.
    (421, [(b"Instance-Id", b"me")], AttemptResult.LOST),
    (421, SEALED[:1], AttemptResult.LOST),
    (421, [*SEALED, (b"Instance-Id", b"other")], AttemptResult.LOST),
    *((status, SEALED, AttemptResult.SERVER_ERROR) for status in (408, 421, 429, 503)),
    (503, [*SEALED, (b"Not-Executed", b"1")], AttemptResult.LOST),
    (200, [*SEALED[:1], (b"Not-Executed", b"1")], AttemptResult.LOST),
    (503, [*SEALED[:1], (b"Not-Executed", b"0")], AttemptResult.LOST),
    (200, [*SEALED, (b"Not-Executed", b"0")], AttemptResult.ANSWERED),
]


@pytest.mark.parametrize(("status", "headers", "result"), CLASSIFIED_ANSWERS)
def test_what_an_answer_proves(status, headers, result):
    assert PlatformDialect().classify_answer(FACTS, "me", WireAnswer(status, headers)) is result


def test_request_as_it_goes_to_a_server():
    request = CallerRequest(
        b"PUT",
        b"/a?b",
        [
            (b"Host", b"h"),
            (b"Request-Deadline-Ms", b"900"),
            (b"expect-instance", b"forged"),
            (b"Transfer-Encoding", b"chunked"),
            (b"Connection", b"close, X-Hop"),
            (b"x-hop", b"1"),
            (b"X-Kept", b"2"),
        ],
        b"body",
        0.0,
    )
    head, _, rest = PlatformDialect().encode_head(request, "s1", 500.7).partition(b"\r\n\r\n")
    assert head.split(b"\r\n") == [
        b"PUT /a?b HTTP/1.1",
        b"Host: h",
        b"X-Kept: 2",
        b"Request-Deadline-Ms: 500",
        b"Expect-Instance: s1",
        b"Content-Length: 4",
    ]
    assert rest == b""  # The body is sent behind the head.


@pytest.mark.parametrize("value", [b"-1", b"x", b"", b"65536"])
def test_malformed_keys(value):
    request = CallerRequest(b"GET", b"/", [(b"Shard-Key", value)], b"", 0.0)
    with pytest.raises(MalformedRequestError):
        PlatformDialect().facts(request)


def test_control_calls_name_the_instance_they_are_for():
    """Guards against a new incarnation that accepts the lease renewal of its predecessor.

    The two had the same address, and the call did not name its recipient.
    """
    dialect = PlatformDialect()
    grant = dialect.encode_grant(GrantCall(1, 2, 3, 4000.0, "h"), "life-1", "10.0.0.1:80")
    release = dialect.encode_release(ReleaseCall(1, 2, 3), "life-1", "10.0.0.1:80")
    for call in (grant, release):
        assert b"\r\nExpect-Instance: life-1\r\n" in call
    assert b'"handover":"h"' in grant


def test_answers_to_control_calls():
    dialect = PlatformDialect()
    dialect.read_grant(WireAnswer(200))
    assert dialect.read_release(WireAnswer(200, [(b"Handover", b"h")])) == "h"
    with pytest.raises(GrantRefusedError):
        dialect.read_grant(WireAnswer(409))
    for read in (dialect.read_grant, dialect.read_release):
        with pytest.raises(OtherInstanceError):
            read(WireAnswer(421))
        with pytest.raises(ValueError, match="500"):
            read(WireAnswer(500))


def test_retry_after_has_fractions():
    headers = PlatformDialect().refusal_headers(FACTS, 0.15)
    assert headers == [(b"Request-Id", b"r1"), (b"Retry-After", b"0.150")]


def test_settings_nested_more_deeply_than_parsers_go_are_wrong_settings():
    for value in (b"[" * 3000 + b"]" * 3000, b"1" + b"0" * 5000):
        with pytest.raises(SettingsFileError):
            parse_settings(SETTINGS + b"\n[odd]\nvalue = " + value)


@pytest.mark.parametrize("value", [b"9" * 5000, b"65536", b"1e3", b"inf", b"-1", b""])
def test_an_invalid_key_is_a_malformed_request(value):
    """Python's ``int()`` refuses a number of more than 4,300 digits."""
    request = CallerRequest(b"GET", b"/", [(b"Shard-Key", value)], b"", 0.0)
    with pytest.raises(MalformedRequestError):
        PlatformDialect().facts(request)


@pytest.mark.parametrize("value", [b"0" * 5000 + b"7", b"7"])
def test_leading_zeros_change_no_key(value):
    request = CallerRequest(b"GET", b"/", [(b"Shard-Key", value)], b"", 0.0)
    assert PlatformDialect().facts(request).shard_key == 7
