"""Builders of records of the duties' log that no holder of the duties writes."""

import json

DEEP = 100_000
LONG_NUMBER = "9" * 400


def odd_duty_records(holder, incarnation, fence):
    """Return records that can't be taken for one of a holder, by what is wrong."""
    sound = {
        "kind": "usage",
        "holder": holder,
        "incarnation": incarnation,
        "fence": fence,
        "reported": -1,
        "body": {"window": 200_000, "counts": {"o": 1}},
    }

    def with_body(**body):
        return json.dumps({**sound, "body": body}).encode()

    def with_number(field, number):
        text = json.dumps({**sound, field: "NUMBER"})
        return text.replace('"NUMBER"', number).encode()

    nested = "[" * DEEP + "]" * DEEP
    return {
        "nothing": b"",
        "no document": b"\xff\x00",
        "nested lists": nested.encode(),
        "nested objects": b'{"a":' * DEEP + b"1" + b"}" * DEEP,
        "a nested body": with_number("body", '{"a":' + nested + "}"),
        "no kind": json.dumps({**sound, "kind": "other"}).encode(),
        "a fence ahead": with_number("fence", "1000"),
        "a long fence": with_number("fence", LONG_NUMBER),
        "a negative fence": with_number("fence", "-1"),
        "a long incarnation": with_number("incarnation", LONG_NUMBER),
        "a decided window ahead": with_number("reported", str(2**52)),
        "a long decided window": with_number("reported", LONG_NUMBER),
        "an infinite decided window": with_number("reported", "1e999"),
        "a window ahead": with_body(window=2**52, counts={}),
        "a long window": with_body(window=int(LONG_NUMBER), counts={}),
        "a window of letters": with_body(window="x", counts={}),
        "no window": with_body(counts={}),
        "no counts": with_body(window=200_000),
        "counts that are a list": with_body(window=200_000, counts=[1]),
        "a negative count": with_body(window=200_000, counts={"o": -1}),
        "a long count": with_body(window=200_000, counts={"o": int(LONG_NUMBER)}),
        "rollouts that are a list": with_body(
            window=200_000, counts={}, rollouts=[1, 2]
        ),
    }
