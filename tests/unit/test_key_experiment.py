"""The key experiment: the gateway's decisions about keys on noisy servers, in virtual time."""

import math
from dataclasses import replace

import pytest
from click.testing import CliRunner

from ploverhatch.cli.experiment_keys import experiment_keys
from ploverhatch.experiment.keys_situations import SITUATIONS, VARIANTS
from ploverhatch.experiment.keys_world import KeyScenario, KeyWorld, SlowServers

SMALL = KeyScenario(servers=20, duration_ms=12_000.0)


def credit(scenario, start_s=0, end_s=1000):
    tally = KeyWorld(scenario).run()
    ended = [
        value for at, values in tally.by_second.items() for value in values if start_s <= at < end_s
    ]
    return sum(ended) / len(ended), tally


def test_a_play_repeats_exactly():
    assert KeyWorld(SMALL).run() == KeyWorld(SMALL).run()


def test_no_request_is_forgotten():
    _, tally = credit(SMALL)
    ended = sum(len(values) for values in tally.by_second.values())
    assert tally.requests - 100 < ended <= tally.requests


def test_evening_out_serves_more_than_equal_parts():
    scenario = replace(SMALL, load=0.8, duration_ms=20_000.0)
    evened, _ = credit(VARIANTS["as it is"](scenario, 1))
    equal, _ = credit(VARIANTS["dealt once"](scenario, 1))
    assert evened > equal + 0.02


def test_servers_that_turn_slow_lose_their_keys():
    slow = SlowServers(6000.0, 12_000.0, 0.3, 12.0)
    scenario = replace(SMALL, load=0.45, duration_ms=18_000.0, slow=(slow,))
    before, _ = credit(scenario, end_s=6)
    at_first, _ = credit(scenario, 6, 8)
    later, _ = credit(scenario, 13, 18)
    assert at_first < before - 0.1
    assert later > at_first + 0.1


def test_keys_of_silent_servers_are_served_again_within_six_seconds():
    slow = SlowServers(4000.0, 30_000.0, 0.3, math.inf)
    scenario = replace(SMALL, load=0.45, duration_ms=14_000.0, slow=(slow,))
    assert credit(scenario, 10, 13)[0] > 0.85


@pytest.mark.parametrize("name", sorted(SITUATIONS))
def test_each_situation_is_played(name):
    tally = KeyWorld(replace(SITUATIONS[name], duration_ms=600.0)).run()
    assert tally.requests > 10


def test_the_command_prints_a_table():
    result = CliRunner().invoke(experiment_keys, ["--situation", "10 servers", "--seeds", "1"])
    assert result.exit_code == 0
    assert "| 10 servers |" in result.output
