import msgspec
from endive_core.fold import ABSENT, MAX_OUTCOMES, ConfigurationFold, Verdict
from endive_core.records import Change, decode, encode


def change(change_id, expected=None, body=None, name="vip"):
    return Change(change_id, "priority", name, "op", expected, body or {"spec": {}})


def test_one_of_two_racing_changes_wins():
    """Two operators create the same resource at once; exactly one change is applied."""
    fold = ConfigurationFold()
    first = fold.apply(0, change("a", expected=ABSENT))
    second = fold.apply(1, change("b", expected=ABSENT))
    assert (first.verdict, second.verdict) == (Verdict.APPLIED, Verdict.CONFLICT)
    assert second.version == first.version == 0


def test_repeated_change_id_is_a_no_op():
    """The answer to an append was lost and the writer appended the change again."""
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
    neither change. Without the check in the fold the second would replace the first."""
    fold = ConfigurationFold()
    mine = Change("a", "priority", "vip", scope="kerloch", body={"owner": "kerloch"})
    theirs = Change("b", "priority", "vip", scope="yunhai", body={"owner": "yunhai"})
    assert fold.apply(0, mine).verdict is Verdict.APPLIED
    assert fold.apply(1, theirs).verdict is Verdict.FORBIDDEN
    assert fold.get("priority", "vip").body["owner"] == "kerloch"


def test_copy_of_an_append_arriving_after_its_id_was_forgotten_changes_nothing():
    """The log answers 504 to an append and accepts it hours later. By then a repeated
    append has made the change, and a later change has replaced it. The late copy must
    not restore the old value."""
    fold = ConfigurationFold()
    late = msgspec.structs.replace(change("c-1", body={"spec": {"level": 1}}), basis=-1)
    fold.apply(0, late)
    for offset in range(1, MAX_OUTCOMES + 2):
        newer = change(f"n-{offset}", body={"spec": {"level": 2}})
        fold.apply(offset, msgspec.structs.replace(newer, basis=offset - 1))
    assert "c-1" not in fold.outcomes
    outcome = fold.apply(MAX_OUTCOMES + 2, late)
    assert outcome.verdict is Verdict.CONFLICT
    assert fold.get("priority", "vip").body == {"spec": {"level": 2}}


def test_snapshot_of_2600_servers_stays_under_a_megabyte():
    """The log or a peer would reject a snapshot that is too large, and new nodes would
    find none."""
    fold = ConfigurationFold()
    servers = [
        {
            "id": f"engine-{number:04d}",
            "address": f"10.20.{number // 250}.{number % 250}:8000",
            "zone": "brest",
            "machine_class": "standard",
            "reclaimable": True,
        }
        for number in range(2600)
    ]
    for offset in range(26):
        group = servers[100 * offset : 100 * offset + 100]
        body = {"owner": "kerloch", "spec": {"servers": group}}
        fold.apply(offset, change(f"s-{offset}", body=body, name=f"service-{offset}"))
    for offset in range(26, MAX_OUTCOMES + 26):
        fold.apply(offset, change(f"{offset:032x}"))
    assert len(encode(fold.snapshot())) < 1_000_000
