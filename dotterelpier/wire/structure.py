"""Maps plain data to ``attrs`` classes with strict checks."""

import json
import re
from enum import Enum
from typing import Any, TypeVar

from cattrs import Converter, transform_error
from cattrs.errors import ClassValidationError, IterableValidationError

T = TypeVar("T")

# How the validators of attrs name the attribute that is out of its limits.
LIMIT_FAULT = re.compile(r"'(?P<key>\w+)' (?P<message>must be .*)", re.DOTALL)


def _make_converter() -> Converter:
    converter = Converter(forbid_extra_keys=True)
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


_CONVERTER = _make_converter()


def structure(data: Any, kind: type[T]) -> T:
    """Return plain data as an instance of a class.

    Raises
    ------
    ValueError
        If the data does not fit; ``args`` holds one line per fault.
    """
    try:
        return _CONVERTER.structure(data, kind)
    except (ClassValidationError, IterableValidationError) as error:
        faults = transform_error(error, path="", format_exception=_fault)
        raise ValueError(*map(_key_first, faults)) from None
    except (TypeError, KeyError, ValueError, AttributeError) as error:
        raise ValueError(_fault(error, kind)) from None


def unstructure(value: Any) -> Any:
    """Return an instance as plain data."""
    return _CONVERTER.unstructure(value)


def encode_json(value: Any) -> bytes:
    """Return an instance as JSON in UTF-8, with sorted keys."""
    plain = unstructure(value)
    return json.dumps(plain, sort_keys=True, separators=(",", ":")).encode()


def decode_json(content: bytes, kind: type[T]) -> T:
    """Return JSON in UTF-8 as an instance of a class.

    Raises
    ------
    ValueError
        If it is no JSON or does not fit.
    """
    return structure(json.loads(content), kind)


def _key_first(fault: str) -> str:
    message, _, path = fault.rpartition(" @ ")
    limit = LIMIT_FAULT.match(message)
    if limit:
        path, message = f"{path}.{limit['key']}", limit["message"]
    path = path.lstrip(".")
    return f"{path}: {message}" if path else message


def _fault(error: BaseException, kind: type | None) -> str:
    if isinstance(error, KeyError):
        return f"key {error.args[0]!r} is missing"
    extra = getattr(error, "extra_fields", None)
    if extra:
        return f"unknown keys {', '.join(sorted(extra))}"
    if isinstance(kind, type) and issubclass(kind, Enum):
        options = ", ".join(str(item.value) for item in kind)
        return f"{error.args[0]}, expected one of: {options}"
    return str(error.args[0]) if error.args else type(error).__name__
