"""Key maps of a restored store that are older than the known ones."""

from hypothesis import given
from hypothesis import strategies as st

from ploverhatch.gateway.directory import Directory
from ploverhatch.sharding.keymap import Holder, KeyMap, Move, first_assignment
from ploverhatch.sharding.restored import token_above_lost


def keymap(number, token, revision):
    holder = Holder(f"s{number}", "10.0.0.1", 9000)
    assigned = first_assignment(KeyMap("svc", token=token - 1), [Move(0, 65535, holder)])
    return KeyMap("svc", assigned.ranges, assigned.token, revision)


# A map with lower tokens at a later revision gave ranges back to their former holders.
def test_an_older_map_at_a_later_revision_does_not_change_the_holders():
    directory = Directory()
    directory.put_keymap(keymap(1, 8, 100))
    assert directory.put_keymap(keymap(0, 5, 200))
    known = directory.keymaps["svc"]
    assert (known.find(0).holder.server_id, known.token, known.revision) == ("s1", 8, 200)
    assert directory.outdated_keymaps == {"svc"}


# After the second restore of a snapshot, a leader issued tokens that servers already knew from
# the time after the first restore.
@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(0, 1000), st.booleans()), max_size=12),
    st.integers(0, 1000),
)
def test_tokens_of_a_later_era_are_above_all_earlier_ones(restored, moves):
    """Each restore brings back one of the latest maps, or a store without a map."""
    kept, highest = [moves], moves
    for restores, (age, moves_since, without_map) in enumerate(restored, start=1):
        token = kept[-1 - min(age, len(kept) - 1)]
        if without_map:
            token = 0  # the snapshot is from before the first map
        issued = token_above_lost(token, restores)
        assert issued > highest
        highest = issued + moves_since
        kept.append(highest)
