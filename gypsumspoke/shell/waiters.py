"""Requests that wait for the one answer with their own id."""

import itertools
from collections.abc import Callable
from typing import Any

from gevent.event import AsyncResult


class Waiters:
    """Hands answers to the greenlets that wait for them."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._waiting: dict[str, AsyncResult] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def open(self) -> tuple[str, AsyncResult]:
        """Return a new request id and what will hold its answer."""
        request = f"r{next(self._numbers)}"
        result = AsyncResult()
        self._waiting[request] = result
        return request, result

    def close(self, request: str) -> None:
        """Forget a request; a later answer is dropped."""
        del self._waiting[request]

    def deliver_all(self, answer_for: Callable[[str], Any]) -> None:
        """Hand an answer to every request that still waits for one.

        Args:
          answer_for: makes the answer to a request.
        """
        for request, waiting in self._waiting.items():
            if not waiting.ready():
                waiting.set(answer_for(request))

    def deliver(self, request: str, answer: Any) -> None:
        """Hand an answer to the request that waits for it, if it still does."""
        waiting = self._waiting.get(request)
        if waiting is not None:
            waiting.set(answer)
