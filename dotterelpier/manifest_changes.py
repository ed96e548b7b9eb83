"""Lists the differences between two manifests or configurations, key by key."""

from collections.abc import Callable, Iterable, Mapping
from enum import Enum

from attrs import asdict

from dotterelpier.model.manifest import Manifest

MAX_CHANGES = 500

KEY_BY_TABLE = {"zones": "name", "services": "name", "backend_servers": "id"}


def manifest_changes(before: Manifest | None, after: Manifest) -> tuple[str, ...]:
    """Return one line for each key that was added, removed or changed.

    Parameters
    ----------
    before : Manifest or None
        Accepted manifest so far, None if there was none or it is not readable.
    after : Manifest
        Manifest that replaces it.

    Returns
    -------
    tuple of str
        Lines such as ``"zones.tt-north-1.state: in -> out"``, at most
        ``MAX_CHANGES``; if there are more, a last line counts the others.
    """
    return changed_lines({} if before is None else _flatten(before), _flatten(after))


def changed_lines(
    old: Mapping[str, str],
    new: Mapping[str, str],
    show: Callable[[str, str], str] = lambda key, value: value,
) -> tuple[str, ...]:
    """Return one line for each key that was added, removed or changed.

    Parameters
    ----------
    old, new : Mapping
        Values by key.
    show : callable
        Returns how to show a value, from its key and the value.

    Returns
    -------
    tuple of str
        At most ``MAX_CHANGES`` lines; if there are more, a last line counts the others.
    """
    keys = [*new, *(key for key in old if key not in new)]
    lines = [
        _line(key, *(item and show(key, item) for item in (old.get(key), new.get(key))))
        for key in keys
        if old.get(key) != new.get(key)
    ]
    if len(lines) > MAX_CHANGES:
        lines[MAX_CHANGES:] = [f"and {len(lines) - MAX_CHANGES} more"]
    return tuple(lines)


def _line(key: str, old: str | None, new: str | None) -> str:
    if old is None:
        return f"{key}: added {new}"
    if new is None:
        return f"{key}: removed"
    return f"{key}: {old} -> {new}"


def _flatten(manifest: Manifest) -> dict[str, str]:
    declared = asdict(manifest, filter=lambda attribute, _: attribute.init)
    return dict(_walk("", declared))


def _walk(path: str, value: object) -> Iterable[tuple[str, str]]:
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _walk(f"{path}.{key}" if path else key, item)
    elif isinstance(value, tuple | list):
        name = KEY_BY_TABLE.get(path)
        for index, item in enumerate(value):
            key = str(index) if name is None else item[name]
            yield from _walk(f"{path}.{key}", item)
    else:
        yield path, str(value.value if isinstance(value, Enum) else value)
