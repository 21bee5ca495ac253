"""Routing of requests by host and longest path prefix."""

from gypsumspoke.runs.values import Configuration, Route


class RoutingTable:
    """The routes of one configuration, indexed by host and path prefix.

    A look-up takes one dictionary access for each distinct prefix length.

    Args:
      configuration: the configuration in force.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._routes = {
            (route.host.lower(), route.path_prefix): route
            for route in configuration.routes
        }
        lengths = {len(route.path_prefix) for route in configuration.routes}
        self._lengths = sorted(lengths, reverse=True)

    @property
    def configuration(self) -> Configuration:
        """The configuration that defines the routes."""
        return self._configuration

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None if no route matches.

        Args:
          host: Host header.
          path: path of the request.
        """
        name = host.lower()
        for length in self._lengths:
            route = self._routes.get((name, path[:length]))
            if route is not None:
                return route
        return None
