"""Key maps that a store came back with, older than what is known."""

from ploverhatch.gateway.directory import Directory
from ploverhatch.sharding.keymap import Holder, KeyMap, Move, first_assignment


def keymap(number, token, revision):
    holder = Holder(f"s{number}", "10.0.0.1", 9000)
    made = first_assignment(KeyMap("svc", token=token - 1), [Move(0, 65535, holder)])
    return KeyMap("svc", made.ranges, made.token, revision)


# A map with lower tokens at a later revision put holders of before into force again.
def test_a_map_of_before_at_a_later_revision_leaves_the_holders():
    directory = Directory()
    directory.put_keymap(keymap(1, 8, 100))
    assert directory.put_keymap(keymap(0, 5, 200))
    known = directory.keymaps["svc"]
    assert (known.find(0).holder.server_id, known.token, known.revision) == ("s1", 8, 200)
    assert directory.outdated_keymaps == {"svc"}
