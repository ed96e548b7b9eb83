"""Decodes the configuration and the registry rows of the platform's store.

Translates the key names of the platform into the types of ``dotterelpier.model``.
"""

import json
import math
import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from functools import partial
from typing import Any, TypeVar

from attrs import define

from dotterelpier.errors import ConfigError
from dotterelpier.model.instance import Instance
from dotterelpier.model.route import (
    ClientLimits,
    Route,
    RouteTable,
    ServiceConfig,
    Share,
)
from dotterelpier.platform.accounts import ACCOUNTS_KEY, CONFIG_KEY, decode_accounts
from dotterelpier.platform.rollout_rows import RolloutRows
from dotterelpier.wire.manifest_toml import is_address

STEP = "platform.codec"
EVACUATION_PREFIX = "evacuate/"
PUBLIC_KEY = "public"
REGISTRATION_STATES = ("ready", "draining")
# Kind of a route in the store -> whether it is idempotent, whether bodies are large.
FLAGS_BY_ROUTE_KIND: Mapping[str, tuple[bool, bool]] = {
    "idempotent": (True, False),
    "non_idempotent": (False, False),
    "download": (True, True),
    "upload": (False, True),
}
# Requests of a kind that a later release may add are never repeated.
UNKNOWN_KIND_FLAGS = (False, False)
# For a service that declares no limit; far above any real number of connections.
UNLIMITED_CONNECTIONS = 1 << 20
# Far above the slots of any real backend server; one with more would get all requests.
MAX_SLOTS = 1 << 16
# The largest range of whole numbers that JSON decoders agree on (RFC 8259, section 6).
MAX_NUMBER = (1 << 53) - 1
# 30 days; waits of the operating system and of Python are limited.
MAX_DURATION_MS = 30 * 24 * 3_600_000
# Ids of backend servers stand in headers, and keys have at most 200 bytes.
INSTANCE_ID = re.compile(r"[!-~]{1,200}")
VERSION = re.compile(r"[0-9A-Fa-f]{1,16}")

T = TypeVar("T")


class StoreCodec(RolloutRows):
    """Decodes rows that operators and backend servers write to the store.

    Holds no state, so that any thread may use it.
    """

    def is_configuration(self, key: str) -> bool:
        """Return whether the row with this key holds the configuration."""
        return key == CONFIG_KEY

    def evacuated_zone(self, key: str) -> str | None:
        """Return the zone that the row with this key evacuates, None for other rows."""
        if not key.startswith(EVACUATION_PREFIX):
            return None
        return key.removeprefix(EVACUATION_PREFIX)

    def route_table(self, content: bytes) -> RouteTable:
        """Return the configuration that a row holds.

        Services that cannot be read are left out, and routes that cannot be read have
        no shares; accounts that cannot be read have no keys. ``faults`` of the table
        lists them.

        Raises
        ------
        ConfigError
            If the version or the limits are not valid, or no route can be read;
            ``faults`` names the keys at fault.
        """
        fields = _Fields(_parse_object(content), "")
        version = fields.get("version", _hexadecimal_version)
        faults: list[str] = []
        terms = _read_each(fields, "services", _service_terms, faults)
        routes = _read_each(fields, "routes", partial(_route, terms), faults)
        if faults and not routes:
            raise ConfigError(tuple(faults), step=STEP)
        table = fields.child("routes")
        faults.extend(_unknown_kinds(table, routes))
        # Their requests must not fall to a route with a shorter prefix.
        for route in _unserved_routes(table, table.keys - routes.keys()):
            routes[route.name] = route
        limits = _client_limits(fields.child("limits"))
        route_by_prefix_by_host = _group_by_host(routes)
        accounts = fields.optional(ACCOUNTS_KEY, decode_accounts)
        if accounts is None:
            return RouteTable(
                version, route_by_prefix_by_host, terms, limits, tuple(faults)
            )
        return RouteTable(
            version,
            route_by_prefix_by_host,
            terms,
            limits,
            (*faults, *_odd_public(table, routes), *accounts.faults),
            True,
            accounts.account_by_key_digest,
        )

    def declared_routes(self, content: bytes) -> tuple[Route, ...]:
        """Return all routes with a valid host and prefix that a row declares.

        Also those that another one with the same host and prefix replaces in the route
        table. Routes that cannot be read otherwise have no shares.

        Raises
        ------
        ConfigError
            If the row holds no table of routes or services.
        """
        fields = _Fields(_parse_object(content), "")
        terms = _read_each(fields, "services", _service_terms, [])
        routes = _read_each(fields, "routes", partial(_route, terms), [])
        table = fields.child("routes")
        unserved = _unserved_routes(table, sorted(table.keys - routes.keys()))
        return (*routes.values(), *unserved)

    def instance(self, key: str, content: bytes) -> Instance:
        """Return the backend server that a registry row describes.

        Raises
        ------
        ConfigError
            If the row is not valid; ``faults`` names the key at fault.
        """
        if not INSTANCE_ID.fullmatch(key):
            raise _config_error("(key)", f"{key!r:.80} cannot stand in a header")
        fields = _Fields(_parse_object(content), "")
        info, status = fields.child("serverInfo"), fields.child("status")
        state = status.get("state", _text)
        if state not in REGISTRATION_STATES:
            raise _config_error("status.state", f"{state!r} is unknown")
        cold_ms = status.get("coldRemainingMs", _duration_ms, 0.0)
        return Instance(
            key,
            info.get("service", _text),
            fields.get("address", _address),
            info.get("zone", _text),
            info.get("slots", _slots),
            draining=state == "draining",
            cold_remaining_s=cold_ms / 1000,
            started_at_ms=fields.get("born", _integer, 0),
            release=info.get("version", _text, ""),
            report_number=status.get("sequence", _integer, 0),
        )


@define
class _Fields:
    """JSON object of a row; errors name the path of the key at fault."""

    _value_by_key: dict[str, Any]
    path: str

    def get(self, key: str, read: Callable[[Any], T], default: T | None = None) -> T:
        """Return a value, the default if the key is missing or null."""
        value = self._value_by_key.get(key)
        if value is None and default is not None:
            return default
        try:
            return read(value)
        except (ValueError, TypeError, RecursionError) as error:
            raise _config_error(self.key_path(key), str(error)) from None

    def optional(self, key: str, read: Callable[[Any], T]) -> T | None:
        """Return a value, None if the key is missing or null."""
        return None if self._value_by_key.get(key) is None else self.get(key, read)

    def child(self, key: str) -> "_Fields":
        """Return the object under a key, an empty one if the key is missing."""
        return _Fields(self.get(key, _mapping, {}), self.key_path(key))

    def children(self, key: str) -> list["_Fields"]:
        """Return the objects of the list under a key."""
        items = self.get(key, _list)
        children = []
        for index, item in enumerate(items):
            path = f"{self.key_path(key)}[{index}]"
            try:
                children.append(_Fields(_mapping(item), path))
            except (ValueError, RecursionError) as error:
                raise _config_error(path, str(error)) from None
        return children

    @property
    def keys(self) -> frozenset[str]:
        """Keys of this object, without those of its children."""
        return frozenset(self._value_by_key)

    def key_path(self, key: str) -> str:
        """Return the path of a key from the root, such as ``routes.shop.kind``."""
        return f"{self.path}.{key}" if self.path else key


def _read_each(
    fields: _Fields, key: str, read: Callable[[str, _Fields], T], faults: list[str]
) -> dict[str, T]:
    """Return the valid entries of a table by name; add the others to ``faults``."""
    table = fields.child(key)
    item_by_name = {}
    for name in sorted(table.keys):
        try:
            item_by_name[name] = read(name, table.child(name))
        except ConfigError as error:
            faults.extend(error.faults)
    return item_by_name


def _unserved_routes(table: _Fields, names: Iterable[str]) -> Iterator[Route]:
    """Yield a route without shares for each name whose host and prefix are valid."""
    for name in names:
        try:
            fields = table.child(name)
            host, prefix = fields.get("hostname", _text), fields.get("prefix", _prefix)
        except ConfigError:
            continue
        yield Route(name, host.lower(), prefix, (), idempotent=False)


def _unknown_kinds(table: _Fields, routes: Iterable[str]) -> Iterator[str]:
    for name in routes:
        fields = table.child(name)
        kind = fields.get("kind", _text)
        if kind not in FLAGS_BY_ROUTE_KIND:
            yield f"{fields.key_path('kind')}: {kind!r} is unknown; never repeated"


def _odd_public(table: _Fields, routes: Iterable[str]) -> Iterator[str]:
    for name in routes:
        fields = table.child(name)
        if not isinstance(fields.get(PUBLIC_KEY, _any, False), bool):
            yield f"{fields.key_path(PUBLIC_KEY)}: not understood; taken as false"


def _route(terms: Mapping[str, ServiceConfig], name: str, fields: _Fields) -> Route:
    kind = fields.get("kind", _text)
    idempotent, large_bodies = FLAGS_BY_ROUTE_KIND.get(kind, UNKNOWN_KIND_FLAGS)
    timeout_ms = fields.optional("timeoutMs", _duration_ms)
    return Route(
        name,
        # In the store, "hostname" is the host that clients request, not a machine.
        fields.get("hostname", _text).lower(),
        fields.get("prefix", _prefix),
        _shares(fields, terms),
        idempotent,
        large_bodies,
        None if timeout_ms is None else timeout_ms / 1000,
        fields.get("targetLatencyMs", _duration_ms, 1000.0) / 1000,
        fields.get("maxAttempts", _positive_integer, 1),
        fields.get("priority", _integer, 0),
        fields.get(PUBLIC_KEY, _any, False) is True,
    )


def _shares(fields: _Fields, terms: Mapping[str, ServiceConfig]) -> tuple[Share, ...]:
    service = fields.optional("service", _text)
    if service is not None:
        shares: tuple[Share, ...] = (Share(service, 1.0),)
    else:
        shares = tuple(
            Share(part.get("service", _text), part.get("weight", _non_negative_number))
            for part in fields.children("trafficSplit")
        )
    if not sum(share.weight for share in shares) > 0:
        raise _config_error(fields.key_path("trafficSplit"), "no weight is above 0")
    for share in shares:
        if share.service not in terms:
            raise _config_error(
                fields.path, f"no valid service {share.service!r} is declared"
            )
    return shares


def _service_terms(name: str, fields: _Fields) -> ServiceConfig:
    return ServiceConfig(
        name,
        fields.get("healthCheckPath", _path),
        fields.get("maxConnections", _positive_integer, UNLIMITED_CONNECTIONS),
        fields.get("warmupS", _non_negative_number, 0.0),
        fields.get("warmupPerS", _non_negative_number, math.inf),
    )


def _client_limits(fields: _Fields) -> ClientLimits:
    default = ClientLimits()
    return ClientLimits(
        fields.get("maxHeaderBytes", _positive_integer, default.header_bytes),
        fields.get("maxBodyBytes", _positive_integer, default.body_bytes),
        fields.get("headerTimeoutMs", _duration_ms, default.header_timeout_s * 1000)
        / 1000,
        fields.get("idleTimeoutMs", _duration_ms, default.idle_timeout_s * 1000) / 1000,
    )


def _group_by_host(routes: Mapping[str, Route]) -> dict[str, dict[str, Route]]:
    route_by_prefix_by_host: dict[str, dict[str, Route]] = {}
    for route in routes.values():
        route_by_prefix_by_host.setdefault(route.host, {})[route.prefix] = route
    return route_by_prefix_by_host


def _parse_object(content: bytes) -> dict[str, Any]:
    try:
        value = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise _config_error("(root)", str(error)) from None
    if not isinstance(value, dict):
        # The value may hold keys of accounts, so it is not quoted.
        raise _config_error("(root)", f"expected a map, got {type(value).__name__}")
    return value


def _config_error(path: str, message: str) -> ConfigError:
    return ConfigError((f"{path}: {message}",), step=STEP)


def _mapping(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ValueError(f"expected a map, got {value!r:.80}")
    return value


def _any(value: Any) -> Any:
    return value


def _list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise ValueError(f"expected a list, got {value!r:.80}")
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value or not value.isprintable():
        raise ValueError(f"expected printable text, got {value!r:.80}")
    return value


def _path(value: Any) -> str:
    text = _text(value)
    if not text.startswith("/") or not text.isascii() or not text.isprintable():
        raise ValueError(f"expected a path, got {text!r:.80}")
    return text


def _prefix(value: Any) -> str:
    text = _path(value)
    if not text.endswith("/"):
        raise ValueError(f"expected a path that ends with '/', got {text!r:.80}")
    return text


def _address(value: Any) -> str:
    text = _text(value)
    if not is_address(text):
        raise ValueError(f"expected IP:port, got {text!r:.80}")
    return text


def _non_negative_number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"expected a number, got {value!r:.80}")
    if not 0 <= value <= MAX_NUMBER:
        message = f"expected a number from 0 to {MAX_NUMBER}, got {value!r:.80}"
        raise ValueError(message)
    return float(value)


def _duration_ms(value: Any) -> float:
    number = _non_negative_number(value)
    if number > MAX_DURATION_MS:
        raise ValueError(f"expected at most {MAX_DURATION_MS} ms, got {value!r:.80}")
    return number


def _integer(value: Any) -> int:
    number = _non_negative_number(value)
    if number != int(number):
        raise ValueError(f"expected a whole number, got {value!r}")
    return int(number)


def _positive_integer(value: Any) -> int:
    number = _integer(value)
    if number < 1:
        raise ValueError(f"expected at least 1, got {value!r}")
    return number


def _slots(value: Any) -> int:
    number = _positive_integer(value)
    if number > MAX_SLOTS:
        raise ValueError(f"expected at most {MAX_SLOTS}, got {value!r:.80}")
    return number


def _hexadecimal_version(value: Any) -> int:
    text = _text(value)
    if not VERSION.fullmatch(text):
        raise ValueError(f"expected a hexadecimal number, got {text!r:.80}")
    return int(text, 16)


def make_store_codec() -> StoreCodec:
    """Return the codec for the rows of the platform's store."""
    return StoreCodec()
