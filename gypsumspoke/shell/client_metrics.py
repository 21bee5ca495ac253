"""Gauges of what the HTTP clients of a process occupy."""

from typing import Protocol

from gypsumspoke.http.clients import ClientRegistry


class GaugeOwner(Protocol):
    """Metrics that gauges can be added to."""

    def gauge(self, name: str, text: str, read) -> None:
        """Add a gauge that is read when it is rendered."""


def add_client_gauges(metrics: GaugeOwner, clients: ClientRegistry) -> None:
    """Add the gauges of a process's clients."""
    metrics.gauge(
        "http_connections",
        "Open connections of HTTP clients.",
        lambda: clients.open_connections,
    )
    metrics.gauge(
        "http_held_bytes",
        "Bytes of requests that are being read.",
        lambda: clients.held_bytes,
    )
