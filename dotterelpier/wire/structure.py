"""Maps plain data to ``attrs`` classes with strict checks."""

import json
import re
from collections.abc import Iterable
from enum import Enum
from types import NoneType
from typing import Any, TypeVar, get_args, get_type_hints

import attrs
from cattrs import Converter, transform_error
from cattrs.errors import ClassValidationError, IterableValidationError

T = TypeVar("T")

# How the validators of attrs name the attribute that is out of its limits.
LIMIT_FAULT_PREFIX = re.compile(r"'\w+' (?=must be )")


def _make_converter(*, forbid_extra_keys: bool) -> Converter:
    converter = Converter(forbid_extra_keys=forbid_extra_keys)
    for kind in (str, int, float, bool):
        converter.register_structure_hook(kind, _structure_scalar)
    return converter


def _structure_scalar(value: Any, kind: type[Any]) -> Any:
    if issubclass(kind, Enum):
        return kind(value)
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise ValueError(f"expected {kind.__name__}, got {value!r}")
    return value


_STRICT = _make_converter(forbid_extra_keys=True)
_TOLERANT = _make_converter(forbid_extra_keys=False)


def structure(data: Any, kind: type[T], *, extra_keys: bool = False) -> T:
    """Return plain data as an instance of a class.

    Parameters
    ----------
    data : Any
        Maps, lists and scalars.
    kind : type
        The class.
    extra_keys : bool, default=False
        Whether unknown keys are ignored rather than refused.

    Raises
    ------
    ValueError
        If the data does not fit; ``args`` holds one line per fault.
    """
    converter = _TOLERANT if extra_keys else _STRICT
    try:
        return converter.structure(data, kind)
    except (ClassValidationError, IterableValidationError) as error:
        faults = transform_error(error, path="", format_exception=_fault_message)
        structure_faults = [
            _put_path_first(fault)
            for fault in faults
            if not LIMIT_FAULT_PREFIX.match(fault)
        ]
        raise ValueError(*structure_faults, *_limit_faults(data, kind, "")) from None
    except (TypeError, KeyError, ValueError, AttributeError) as error:
        raise ValueError(_fault_message(error, kind)) from None


def unstructure(value: Any) -> Any:
    """Return an instance as plain data."""
    return _STRICT.unstructure(value)


def encode_json(value: Any) -> bytes:
    """Return an instance as JSON in UTF-8, with sorted keys."""
    plain = unstructure(value)
    return json.dumps(plain, sort_keys=True, separators=(",", ":")).encode()


def decode_json(content: bytes, kind: type[T]) -> T:
    """Return JSON in UTF-8 as an instance of a class.

    Unknown keys are ignored: a newer version of this program may have written them.

    Raises
    ------
    ValueError
        If it is no JSON or does not fit.
    """
    return structure(json.loads(content), kind, extra_keys=True)


def _limit_faults(data: Any, kind: Any, path: str) -> Iterable[str]:
    """Yield every value out of its limits; a constructor names only the first."""
    items = [item for item in get_args(kind) if item not in (NoneType, Ellipsis)]
    if items and isinstance(data, list):
        for index, element in enumerate(data):
            yield from _limit_faults(element, items[0], f"{path}[{index}]")
    inner = items[0] if items else kind
    if not attrs.has(inner) or not isinstance(data, dict):
        return
    hints = get_type_hints(inner)
    for item in attrs.fields(inner):
        if item.name not in data:
            continue
        item_path = f"{path}.{item.name}"
        yield from _limit_faults(data[item.name], hints[item.name], item_path)
        if item.validator is not None:
            yield from _value_fault(data[item.name], item, item_path)


def _value_fault(value: Any, item: "attrs.Attribute[Any]", path: str) -> Iterable[str]:
    try:
        item.validator(None, item, value)  # type: ignore[misc]
    except ValueError as error:
        message = LIMIT_FAULT_PREFIX.sub("", str(error.args[0]))
        yield f"{path.lstrip('.')}: {message}"
    except TypeError:
        return


def _put_path_first(fault: str) -> str:
    message, _, path = fault.rpartition(" @ ")
    path = path.lstrip(".")
    return f"{path}: {message}" if path else message


def _fault_message(error: BaseException, kind: type | None) -> str:
    if isinstance(error, KeyError):
        return f"key {error.args[0]!r} is missing"
    extra = getattr(error, "extra_fields", None)
    if extra:
        return f"unknown keys {', '.join(sorted(extra))}"
    if isinstance(kind, type) and issubclass(kind, Enum):
        options = ", ".join(str(item.value) for item in kind)
        return f"{error.args[0]}, expected one of: {options}"
    return str(error.args[0]) if error.args else type(error).__name__
