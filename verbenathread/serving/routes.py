"""Matches requests to routes and picks a service of the route."""

from typing import NamedTuple

from verbenathread.membership.hashing import hash64
from verbenathread.serving.types import ClientAccount, Route, ServingConfig


class RouteMatch(NamedTuple):
    """The route and the client account of a request."""

    route: Route
    # None if the request was served without a key.
    account: ClientAccount | None

    def priority(self) -> int:
        """Return the priority of the request; 0 is the highest."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


class UnknownRoute(NamedTuple):
    """No route serves this host and path."""


class UnknownKey(NamedTuple):
    """The route requires a key that no client account holds."""


class RouteTable:
    """The routes of one configuration, indexed by host and prefix."""

    def __init__(self, config: ServingConfig) -> None:
        """Index the routes of ``config``."""
        self.config = config
        self._route_by_prefix: dict[tuple[str, str], Route] = {}
        for route in config.routes:
            self._route_by_prefix[(route.host, route.prefix)] = route

    def match(
        self, host: str, path: str, key: str | None
    ) -> RouteMatch | UnknownRoute | UnknownKey:
        """Return the route of a request and the account that holds its key."""
        route = self.find(host, path)
        if route is None:
            return UnknownRoute()
        accounts = self.config.account_by_key
        if accounts is None:
            return RouteMatch(route, None)
        account = None if key is None else accounts.get(key)
        if account is None and not route.public:
            return UnknownKey()
        return RouteMatch(route, account)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``."""
        end = path.rfind('/')
        while end >= 0:
            route = self._route_by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


def pick_service(route: Route, attempt_id: str) -> str:
    """Return the service for this attempt, by the weights of the route.

    The choice depends only on the attempt id, so every gateway agrees on it.
    """
    if len(route.targets) == 1:
        return route.targets[0].service
    total_weight = sum(target.weight for target in route.targets)
    point = hash64(attempt_id) % total_weight
    for target in route.targets:
        if point < target.weight:
            return target.service
        point -= target.weight
    return route.targets[-1].service
