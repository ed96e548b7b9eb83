"""Checks a configuration before operators write it to the store."""

import contextlib
import json
from collections.abc import Iterable, Iterator
from typing import Any

from attrs import frozen

from dotterelpier.errors import ConfigError
from dotterelpier.manifest_changes import changed_lines
from dotterelpier.model.request import DEFAULT_TIMEOUT_S
from dotterelpier.model.route import Route, RouteTable, ServiceConfig
from dotterelpier.protocols.fleet import Codec

STEP = "config.check"
# Values below this key are secret.
SECRET_KEY = "apiKeys"
HIDDEN = "(hidden)"
# Levels of a configuration that differences name; known keys are at most six deep.
MAX_DEPTH = 12
# Requests are matched by the host without its port, and by the path without its query.
NOT_IN_HOSTS = frozenset(":/ ")
NOT_IN_PATHS = frozenset("?# ")


@frozen
class ConfigReport:
    """What was found in a configuration, one line each that begins with the key.

    Attributes
    ----------
    errors : tuple of str
        Why entries reject it, or the parts of it that they leave out.
    warnings : tuple of str
        What can never match, and limits that contradict each other.
    changes : tuple of str
        What differs from another configuration.
    """

    errors: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()
    changes: tuple[str, ...] = ()


def check_configuration(
    codec: Codec, content: bytes, against: bytes | None = None
) -> ConfigReport:
    """Return what is wrong with a configuration, and what it changes.

    Parameters
    ----------
    codec : Codec
        The reader that entries use; what it does not understand is an error.
    content : bytes
        The configuration, as operators write it.
    against : bytes or None
        Another one to compare it with.

    Raises
    ------
    ConfigError
        If the other one is not a JSON object.
    """
    before = None if against is None else _parse(against)
    try:
        table = codec.route_table(content)
        errors, warnings = table.faults, tuple(_warnings(codec, content, table))
    except ConfigError as error:
        errors, warnings = error.faults, ()
    changes: tuple[str, ...] = ()
    if before is not None:
        try:
            changes = _changes(before, _parse(content))
        except ConfigError:
            # The errors say so.
            changes = ()
    return ConfigReport(errors, warnings, changes)


def _warnings(codec: Codec, content: bytes, table: RouteTable) -> Iterator[str]:
    yield from _repeated_keys(content)
    declared = codec.declared_routes(content)
    for route in declared:
        yield from _unmatched(route, table)
        yield from _route_limits(route)
    if not table.faults:
        # A route that is not understood may use them.
        yield from _unused_services(table)
    for service in table.config_by_service.values():
        yield from _service_limits(service)
    limits = table.limits
    if limits.idle_timeout_s < limits.header_timeout_s:
        yield (
            f"limits.idleTimeoutMs: {_ms(limits.idle_timeout_s)} is below "
            f"headerTimeoutMs, {_ms(limits.header_timeout_s)}"
        )
    for key, timeout_s in (
        ("idleTimeoutMs", limits.idle_timeout_s),
        ("headerTimeoutMs", limits.header_timeout_s),
    ):
        if timeout_s == 0:
            yield f"limits.{key}: with 0 no client has the time to send a request"


def _repeated_keys(content: bytes) -> Iterator[str]:
    """Yield the keys that an object holds twice; readers keep the last value."""
    repeated: list[str] = []

    def note(pairs: list[tuple[str, Any]]) -> None:
        keys = [key for key, _ in pairs]
        repeated.extend(sorted({key for key in keys if keys.count(key) > 1}))

    with contextlib.suppress(RecursionError):
        json.loads(content, object_pairs_hook=note)
    for key in repeated:
        yield f"{key}: appears twice in one object; only the last one counts"


def _unmatched(route: Route, table: RouteTable) -> Iterator[str]:
    path = f"routes.{route.name}"
    matched = table.route_by_prefix_by_host[route.host][route.prefix]
    if matched.name != route.name:
        yield f"{path}: never matches; {matched.name!r} has the same host and prefix"
    if NOT_IN_HOSTS & set(route.host):
        yield f"{path}.hostname: never matches; {route.host!r} is more than a host"
    if NOT_IN_PATHS & set(route.prefix):
        yield f"{path}.prefix: never matches; no path holds {route.prefix!r}"


def _route_limits(route: Route) -> Iterator[str]:
    path = f"routes.{route.name}"
    if route.target_s == 0:
        yield f"{path}.targetLatencyMs: no answer can come within 0 ms"
    if route.timeout_s is None:
        return
    if route.timeout_s == 0:
        yield f"{path}.timeoutMs: no answer can come within 0 ms"
    elif route.timeout_s > DEFAULT_TIMEOUT_S:
        yield (
            f"{path}.timeoutMs: {_ms(route.timeout_s)} is above "
            f"{_ms(DEFAULT_TIMEOUT_S)}, the timeout of clients that state none"
        )
    if 0 < route.timeout_s < route.target_s:
        yield (
            f"{path}.targetLatencyMs: {_ms(route.target_s)} is above timeoutMs, "
            f"{_ms(route.timeout_s)}"
        )


def _unused_services(table: RouteTable) -> Iterator[str]:
    weight_by_service: dict[str, float] = {}
    for route_by_prefix in table.route_by_prefix_by_host.values():
        for route in route_by_prefix.values():
            for share in route.shares:
                known = weight_by_service.get(share.service, 0.0)
                weight_by_service[share.service] = known + share.weight
    for name in table.config_by_service:
        if name not in weight_by_service:
            yield f"services.{name}: no route uses it"
        elif weight_by_service[name] == 0:
            yield f"services.{name}: gets no requests; all its weights are 0"


def _service_limits(service: ServiceConfig) -> Iterator[str]:
    if service.warmup_s > 0 and service.warmup_per_s == 0:
        yield (
            f"services.{service.name}.warmupPerS: with 0, servers get no requests "
            f"during warmupS, {service.warmup_s:g} s"
        )


def _changes(before: dict[str, Any], after: dict[str, Any]) -> tuple[str, ...]:
    return changed_lines(dict(_flat("", before)), dict(_flat("", after)), _shown)


def _flat(path: str, value: Any, depth: int = 0) -> Iterable[tuple[str, str]]:
    """Yield the path and JSON of each value that is not itself a map or list.

    Below ``MAX_DEPTH``, a map or list is one value.
    """
    if isinstance(value, dict) and value and depth < MAX_DEPTH:
        for key, item in value.items():
            yield from _flat(f"{path}.{key}" if path else key, item, depth + 1)
    elif isinstance(value, list) and value and depth < MAX_DEPTH:
        for number, item in enumerate(value):
            yield from _flat(f"{path}[{number}]", item, depth + 1)
    else:
        try:
            yield path, json.dumps(value)
        except RecursionError:
            yield path, "(nested too deeply)"


def _shown(path: str, value: str) -> str:
    return HIDDEN if SECRET_KEY in path else value


def _parse(content: bytes) -> dict[str, Any]:
    try:
        value = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise ConfigError((f"(root): {error}",), step=STEP) from None
    if not isinstance(value, dict):
        raise ConfigError(("(root): expected a map",), step=STEP)
    return value


def _ms(seconds: float) -> str:
    return f"{seconds * 1000:g} ms"
