"""Types of the numbers in documents and messages.

A number is in range or its document can't be decoded, so that sums and times computed
from it are numbers too.
"""

from typing import Annotated

import msgspec

MAX_NUMBER = 2**53
"""Largest count or time in a document. Each format and each floating-point number can
hold it exactly."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A count, a number in a sequence, or a time in whole units."""

StartTime = Annotated[int, msgspec.Meta(ge=0, le=2**42)]
"""When a process started, Unix milliseconds until the year 2109. A number beyond that
would hide all later starts. The range doesn't depend on a clock, which may be wrong."""

Quantity = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
"""A time that may be over, or a sum that is rounded."""

Age = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A time that has passed, or another quantity of at least 0."""

Figure = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
"""A quantity in whole units, of which sums are formed."""

OptionalCount = Annotated[int, msgspec.Meta(ge=-1, le=MAX_NUMBER)]
"""A count, or -1 if there is none."""

MAX_OFFSET = 2**52
"""Largest offset of a record. What follows it is in the range of a count as well."""

Offset = Annotated[int, msgspec.Meta(ge=0, le=MAX_OFFSET)]
OptionalOffset = Annotated[int, msgspec.Meta(ge=-1, le=MAX_OFFSET)]
"""The offset of a record, or -1 if there is none."""

Name = Annotated[str, msgspec.Meta(max_length=256)]
"""The name or id of something, which a node may pass on."""
