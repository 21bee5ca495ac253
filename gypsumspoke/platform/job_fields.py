"""A job on the wire, decoded by types.

The types bound what a body can become: repeated or unknown fields take no memory.
"""

from typing import Annotated

import msgspec

MAX_STEPS = 100
# Larger numbers are taken for errors.
_END_OF_NUMBERS = 10**12

_Number = Annotated[float, msgspec.Meta(ge=0, lt=_END_OF_NUMBERS)]
_Earlier = Annotated[int, msgspec.Meta(ge=0, lt=MAX_STEPS)]
_LEFT_OUT = msgspec.Raw(b"")


class StepFields(msgspec.Struct):
    """A step on the wire.

    ``constraints`` is one label, ``affinity`` is a rack, and ``anti_affinity`` is the
    maximum number of tasks on a worker.
    """

    count: Annotated[float, msgspec.Meta(ge=1, lt=_END_OF_NUMBERS)]
    cpu: _Number = 0
    mem_mb: _Number = 0
    gpu: _Number = 0
    estimate_ms: _Number = 0
    anti_affinity: _Number = 0
    after: frozenset[_Earlier] | None = None
    constraints: str | None = None
    affinity: str | None = None
    gang: msgspec.Raw = _LEFT_OUT
    same_rack: msgspec.Raw = _LEFT_OUT
    fills: msgspec.Raw = _LEFT_OUT
    may_miss: msgspec.Raw = _LEFT_OUT


_Steps = Annotated[list[StepFields], msgspec.Meta(min_length=1, max_length=MAX_STEPS)]


class JobFields(msgspec.Struct):
    """A job on the wire."""

    steps: _Steps | None = None
    spec: str = ""
    best_effort: msgspec.Raw = _LEFT_OUT
    long_running: msgspec.Raw = _LEFT_OUT
    times: msgspec.Raw = _LEFT_OUT


_decoder = msgspec.json.Decoder(JobFields)


def decode_job(body: bytes) -> JobFields:
    """Decode a job.

    Raises:
      ValueError: the body is malformed, or a field is out of its bounds.
    """
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(str(error)) from error
