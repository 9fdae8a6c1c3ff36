from endive_core.fold import ABSENT, ConfigurationFold, Verdict
from endive_core.records import Change, decode, encode


def change(change_id, expected=None, body=None, name="vip"):
    return Change(change_id, "priority", name, "op", expected, body or {"spec": {}})


def test_one_of_two_racing_changes_wins():
    """Two operators change what both saw at version 0; exactly one is applied."""
    fold = ConfigurationFold()
    first = fold.apply(0, change("a", expected=ABSENT))
    second = fold.apply(1, change("b", expected=ABSENT))
    assert (first.verdict, second.verdict) == (Verdict.APPLIED, Verdict.CONFLICT)
    assert second.version == first.version == 0


def test_repeated_change_id_is_a_no_op():
    """An append's answer was lost and the writer appended the change again."""
    fold = ConfigurationFold()
    first = fold.apply(3, change("a"))
    fold.apply(4, change("b", body={"spec": {"level": 2}}))
    again = fold.apply(5, change("a"))
    assert again == first
    assert fold.get("priority", "vip").version == 4


def test_snapshot_restores_the_same_state():
    fold = ConfigurationFold()
    for offset in range(5):
        fold.apply(offset, change(f"c{offset}", name=f"p{offset}"))
    text = encode(fold.snapshot())
    restored = ConfigurationFold.from_snapshot(decode(text))
    assert encode(restored.snapshot()) == text
    assert restored.offset == fold.offset


def test_change_of_another_organisations_resource_is_forbidden():
    """Two organisations create the same name at once, each on a node that has seen
    neither; without the check in the fold, the second would replace the first."""
    fold = ConfigurationFold()
    mine = Change("a", "priority", "vip", scope="kerloch", body={"owner": "kerloch"})
    theirs = Change("b", "priority", "vip", scope="yunhai", body={"owner": "yunhai"})
    assert fold.apply(0, mine).verdict is Verdict.APPLIED
    assert fold.apply(1, theirs).verdict is Verdict.FORBIDDEN
    assert fold.get("priority", "vip").body["owner"] == "kerloch"
