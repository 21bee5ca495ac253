"""Pending requests, each waiting for the answer with its id."""

import itertools
from collections.abc import Callable
from typing import Any

from gevent.event import AsyncResult


class Waiters:
    """Passes answers to the greenlets that wait for them."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._waiting: dict[str, AsyncResult] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def open(self) -> tuple[str, AsyncResult]:
        """Return a new request id and the future result of the request."""
        request = f"r{next(self._numbers)}"
        result = AsyncResult()
        self._waiting[request] = result
        return request, result

    def close(self, request: str) -> None:
        """Remove a request; later answers to it are dropped."""
        del self._waiting[request]

    def deliver_all(self, answer_for: Callable[[str], Any]) -> None:
        """Answer every request that is still waiting.

        Args:
          answer_for: returns the answer to a request id.
        """
        for request, waiting in self._waiting.items():
            if not waiting.ready():
                waiting.set(answer_for(request))

    def deliver(self, request: str, answer: Any) -> None:
        """Answer a request if it is still waiting."""
        waiting = self._waiting.get(request)
        if waiting is not None:
            waiting.set(answer)
