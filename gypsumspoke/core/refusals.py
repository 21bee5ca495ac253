"""Answers to requests that a process turns away itself."""

from datetime import timedelta

from gypsumspoke.core.errors import ANSWER_RULES, ErrorKind, Work
from gypsumspoke.core.values import Answer


def refusal_answer(
    kind: ErrorKind, detail: str = "", retry_after: timedelta | None = None
) -> Answer:
    """Return the answer to a request that was turned away and passed to nobody.

    Args:
      kind: the reason.
      detail: one sentence for a person.
      retry_after: when to come back; by default as the table of answers says.
    """
    rule = ANSWER_RULES[kind]
    return Answer(
        kind=kind,
        work=rule.work or Work.UNKNOWN,
        retry_after=rule.retry_after if retry_after is None else retry_after,
        detail=detail,
    )
