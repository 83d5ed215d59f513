"""What a key of the operator file may be, and that in words, read off the schema."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from functools import cache
from typing import Any

import msgspec
from msgspec import NODEFAULT, Struct, inspect, structs

from sidecar_proxy.config.schema import Operator


@dataclass(slots=True, frozen=True)
class Kind:
    """Of one key, or of a table."""

    hint: Any  # its annotation
    default: Any = None
    keys: dict[str, Kind] = field(default_factory=dict)  # of a table

    @property
    def type(self) -> inspect.Type:
        """Without what is said about it."""
        found = inspect.type_info(self.hint)
        while isinstance(found, inspect.Metadata):
            found = found.type
        return found

    @property
    def description(self) -> str:
        """A sentence, or a table's docstring."""
        if self.keys:
            return " ".join((self.hint.__doc__ or "").split())
        found = inspect.type_info(self.hint)
        told = found.extra_json_schema if isinstance(found, inspect.Metadata) else None
        return str((told or {}).get("description", ""))

    def takes(self, value: object) -> bool:
        if isinstance(value, float) and not math.isfinite(value):
            return False  # hazard: no limit holds against what is no number
        try:
            msgspec.convert(value, self.hint)
        except msgspec.ValidationError:
            return False
        return True

    def of_texts(self) -> bool:
        return isinstance(self.type, inspect.DictType)

    def expected(self) -> str:
        """What may stand there."""
        match self.type:
            case inspect.BoolType():
                return "true or false"
            case inspect.IntType() as found:
                return f"a whole number from {found.ge} to {found.le}"
            case inspect.FloatType() as found:
                return f"a number from {found.ge:g} to {found.le:g}"
            case inspect.LiteralType() as found:
                return " or ".join(repr(one) for one in found.values)
            case inspect.StrType() as found:
                return f"a text of at most {found.max_length} characters"
            case inspect.VarTupleType() as found:
                return f"a list of at most {found.max_length} texts"
            case inspect.DictType() as found:
                return f"a table of at most {found.max_length} texts"
        return "a table"


def kind_of(one: structs.FieldInfo) -> Kind:
    default = (
        one.default
        if one.default is not NODEFAULT
        else (one.default_factory() if one.default_factory is not NODEFAULT else None)
    )
    is_table = isinstance(one.type, type) and issubclass(one.type, Struct)
    return Kind(one.type, default, keys_of(one.type) if is_table else {})


def keys_of(table: type[Struct]) -> dict[str, Kind]:
    return {one.name: kind_of(one) for one in structs.fields(table)}


@cache
def whole() -> Kind:
    """The file."""
    return Kind(Operator, Operator(), keys_of(Operator))
