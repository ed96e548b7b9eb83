"""Routes, services and limits that are in force together."""

from collections.abc import Mapping

from attrs import field, frozen


@frozen
class Share:
    """Part of a route's requests that goes to one service.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Weight among the shares of the route.
    """

    service: str
    weight: float


@frozen
class Route:
    """How requests of one host and path prefix are served.

    Attributes
    ----------
    name : str
        Name of the route.
    host : str
        Host, in lower case, without port.
    prefix : str
        Path prefix that begins and ends with a slash.
    shares : tuple of Share
        Services that the requests are divided among.
    idempotent : bool
        Whether a request may run more than once.
    large_answers : bool
        Whether answers are large, so that bytes between zones count.
    timeout_s : float or None
        Longest time until the final answer, in seconds.
    target_s : float
        Response time objective, in seconds.
    max_attempts : int
        Backend servers that one request may be sent to.
    priority : int
        Rank, 0 is served first.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    idempotent: bool
    large_answers: bool = False
    timeout_s: float | None = None
    target_s: float = 1.0
    max_attempts: int = 1
    priority: int = 0


@frozen
class ServiceConfig:
    """What is declared about the backend servers of a service.

    Attributes
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health check.
    max_connections : int
        Connections that a backend server accepts from all entries together.
    warmup_s : float
        Duration of a cold start, in seconds.
    warmup_per_s : float
        Requests each second that a cold backend server bears.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_s: float
    warmup_per_s: float


@frozen
class ClientLimits:
    """Limits on what a client may send, and how slowly.

    Attributes
    ----------
    header_bytes : int
        Largest request line and headers together, in bytes.
    body_bytes : int
        Largest request body, in bytes.
    header_timeout_s : float
        Longest time for a request to arrive, in seconds.
    idle_timeout_s : float
        Age at which an idle connection is closed, in seconds.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class RouteTable:
    """All that one version of the configuration declares.

    Attributes
    ----------
    version : int
        Version; a table never replaces one with a higher version.
    route_by_prefix_by_host : Mapping
        Routes by host and prefix.
    terms_by_service : Mapping
        Services by name.
    limits : ClientLimits
        Limits on clients.
    """

    version: int
    route_by_prefix_by_host: Mapping[str, Mapping[str, Route]] = field(repr=False)
    config_by_service: Mapping[str, ServiceConfig] = field(repr=False)
    limits: ClientLimits = ClientLimits()

    def route_names(self) -> frozenset[str]:
        """Return the names of all routes."""
        return frozenset(
            route.name
            for route_by_prefix in self.route_by_prefix_by_host.values()
            for route in route_by_prefix.values()
        )

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, None if there is none."""
        route_by_prefix = self.route_by_prefix_by_host.get(host)
        if route_by_prefix is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = route_by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None
