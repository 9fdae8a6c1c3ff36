"""Builders of streams into which a server writes bytes that are no part of them."""

import random
import re
from dataclasses import dataclass

EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)
MAX_SOUND_EVENTS = 3
FRAMINGS = ("chunked", "length", "connection")


def foreign_pieces(number):
    """Return bytes that are no event after the one with id `number`."""
    return (
        b"\x80\x03\n\n\xff\x00\n\n",
        b"out of memory\n\nrestarting\n\n",
        b"data: x\n\n",
        b"id: \ndata: x\n\n",
        b"id: %d\ndata: v1 x\n\n" % number,
        b"id: %d\ndata: v1 x\n\n" % max(0, number - 1),
        b"id: %d\ndata: v1 x\n\n" % (number + 3),
        b"id: %d\ndata: \xff\xfe\n\n" % (number + 1),
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\nContent-Length: 2\n\nok\n\n",
        b"\x00\x01\x02",
    )


@dataclass(frozen=True)
class SpoiltStream:
    """How a stream is spoilt.

    Attributes
    ----------
    framing : str
        One of `FRAMINGS`.
    sound : int
        Number of sound events before the foreign bytes.
    goes_on : bool
        Whether the other events follow them.
    foreign : bytes
        The foreign bytes.
    """

    framing: str
    sound: int
    goes_on: bool
    foreign: bytes

    @classmethod
    def draw(cls, request_id, after):
        """Draw how the stream of a request is spoilt that goes on after an event."""
        rng = random.Random(request_id)
        sound = rng.randint(0, MAX_SOUND_EVENTS)
        foreign = rng.choice(foreign_pieces(after + sound))
        return cls(rng.choice(FRAMINGS), sound, rng.random() < 0.5, foreign)

    def pieces(self, events):
        """Yield the stream's pieces with the foreign bytes among them."""
        for position, piece in enumerate(events):
            if position == self.sound:
                yield self.foreign
                if not self.goes_on:
                    return
            yield piece


def first_foreign(body, made, after):
    """Return the first piece of a body that is no event of its stream; empty if none.

    Parameters
    ----------
    body : bytes
        What a caller holds of a response, which may end inside an event.
    made : set of bytes
        The events that servers have made for the request.
    after : int
        Id of the event after which the response goes on.
    """
    *events, rest = body.split(b"\n\n")
    for number, lines in enumerate(events, after + 1):
        piece = lines + b"\n\n"
        if piece not in made or int(EVENT_ID.search(piece)[1]) != number:
            return piece
    is_begun = not rest or any(piece.startswith(rest) for piece in made)
    return b"" if is_begun else rest
