"""Settings: the samples load, and all errors are reported at once."""

from pathlib import Path

import pytest

from ploverhatch.policy.compiler import compile_policy
from ploverhatch.settings.deployment import Deployment
from ploverhatch.settings.loader import SettingsError, load_model, load_settings

SAMPLES = Path(__file__).parents[2] / "etc"


@pytest.mark.parametrize("name", ["uplands", "gauteng-east"])
def test_sample_deployment_and_policy_load(name):
    deployment = load_model(Deployment, SAMPLES / f"{name}.toml")
    servers = {
        f"{item.name}-{number}": item.labels
        for item in deployment.upstream
        for number in range(item.count)
    }
    compiled = compile_policy((SAMPLES / deployment.policy_file).read_text(), servers)
    assert compiled.warnings == ()
    for traffic in deployment.traffic:
        match = compiled.table.match(traffic.method, traffic.path.replace("{key}", "k"))
        assert match.route.once is traffic.once


def test_sample_node_settings_are_the_defaults():
    settings = load_settings(SAMPLES / "node.toml", {})
    minimal = load_settings(
        None, {"node.name": "n", "node.zone": "z", "platform.url": "http://127.0.0.1:7500"}
    )
    assert settings.timing == minimal.timing
    assert settings.limits == minimal.limits
    assert settings.cell == minimal.cell


def test_every_fault_is_reported_at_once(tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text('[node]\nname = ""\nzone = "z"\ncolour = 1\n[timing]\nlease_ms = 1\n')
    with pytest.raises(SettingsError) as caught:
        load_settings(path, {})
    text = str(caught.value)
    for part in ("node.name", "node.colour", "platform", "timing.lease_ms", "100", str(path)):
        assert part in text


def test_flags_override_the_file():
    settings = load_settings(SAMPLES / "node.toml", {"node.name": "other", "node.port": None})
    assert (settings.node.name, settings.node.port) == ("other", 7101)
