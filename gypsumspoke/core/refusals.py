"""Answers to requests that a process refuses itself."""

from datetime import timedelta

from gypsumspoke.core.errors import ANSWER_RULES, ErrorKind, Work
from gypsumspoke.core.values import Answer


def refusal_answer(
    kind: ErrorKind, detail: str = "", retry_after: timedelta | None = None
) -> Answer:
    """Return the answer to a request that was refused and not forwarded.

    Args:
      kind: the reason.
      detail: one sentence for a human reader.
      retry_after: delay before a retry; by default that of ``ANSWER_RULES``.
    """
    rule = ANSWER_RULES[kind]
    return Answer(
        kind=kind,
        work=rule.work or Work.UNKNOWN,
        retry_after=rule.retry_after if retry_after is None else retry_after,
        detail=detail,
    )
