"""Routes, services and limits of one version of the configuration."""

from collections.abc import Mapping

from attrs import field, frozen

from dotterelpier.model.account import Account


@frozen
class Share:
    """Share of a route's requests that one service gets.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Weight relative to the other shares of the route.
    """

    service: str
    weight: float


@frozen
class Route:
    """How requests to one host and path prefix are served.

    Attributes
    ----------
    name : str
        Name of the route.
    host : str
        Host, in lower case, without port.
    prefix : str
        Path prefix that begins and ends with a slash.
    shares : tuple of Share
        Services that share the requests, by weight; empty if the configuration of the
        route is not understood, and its requests are refused.
    idempotent : bool
        Whether a request may run more than once.
    large_bodies : bool
        Whether requests or answers are large, so that the cost of bytes between zones
        counts.
    timeout_s : float or None
        Timeout until the final answer, in seconds; None if the route sets none.
    target_s : float
        Response time objective, in seconds.
    max_attempts : int
        Largest number of attempts for one request, the first included.
    priority : int
        Priority; 0 is the highest.
    public : bool
        Whether its requests need no key.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    idempotent: bool
    large_bodies: bool = False
    timeout_s: float | None = None
    target_s: float = 1.0
    max_attempts: int = 1
    priority: int = 0
    public: bool = False


@frozen
class ServiceConfig:
    """What the configuration declares about the backend servers of a service.

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
        Requests per second that a backend server can serve during a cold start.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_s: float
    warmup_per_s: float


@frozen
class ClientLimits:
    """Limits on the size of a client's requests and on the time to send them.

    Attributes
    ----------
    header_bytes : int
        Largest request line and headers together, in bytes.
    body_bytes : int
        Largest request body, in bytes.
    header_timeout_s : float
        Timeout for the headers of a request to arrive, in seconds.
    idle_timeout_s : float
        Idle time after which a connection is closed, in seconds.
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
        Version of the configuration; a table never replaces one with a higher version.
    route_by_prefix_by_host : Mapping
        Routes by host and prefix.
    config_by_service : Mapping
        Declarations by the name of the service.
    limits : ClientLimits
        Limits on clients.
    faults : tuple of str
        What could not be read and how it is handled, one line each with the path of
        the key.
    needs_keys : bool
        Whether requests need the key of an account, except on public routes.
    account_by_key_digest : Mapping
        Accounts by the digest of each of their keys.
    """

    version: int
    route_by_prefix_by_host: Mapping[str, Mapping[str, Route]] = field(repr=False)
    config_by_service: Mapping[str, ServiceConfig] = field(repr=False)
    limits: ClientLimits = ClientLimits()
    faults: tuple[str, ...] = ()
    needs_keys: bool = False
    account_by_key_digest: Mapping[bytes, Account] = field(factory=dict, repr=False)

    def route_names(self) -> frozenset[str]:
        """Return the names of all routes."""
        return frozenset(
            route.name
            for route_by_prefix in self.route_by_prefix_by_host.values()
            for route in route_by_prefix.values()
        )

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path, or None."""
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
