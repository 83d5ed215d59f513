"""The type, limits and description of each key of the operator file, read from the schema."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from functools import cache
from typing import Any

import msgspec
from msgspec import NODEFAULT, Struct, inspect, structs

from sidecar_proxy.config.schema import Operator


@dataclass(slots=True, frozen=True)
class FieldType:
    """The type of one key, or of a table."""

    annotation: Any
    default: Any = None
    fields: dict[str, FieldType] = field(default_factory=dict)  # fields of a table by name; empty for a key

    @property
    def is_table(self) -> bool:
        """Whether this is a table with fields of its own."""
        return bool(self.fields)

    @property
    def is_string_table(self) -> bool:
        """Whether this is a key whose value is a table of strings."""
        return isinstance(self.type, inspect.DictType)

    @property
    def type(self) -> inspect.Type:
        """The type without its limits and description."""
        type_info = inspect.type_info(self.annotation)
        while isinstance(type_info, inspect.Metadata):
            type_info = type_info.type
        return type_info

    @property
    def description(self) -> str:
        """The description of a key, or the docstring of a table, on one line."""
        if self.is_table:
            return " ".join((self.annotation.__doc__ or "").split())
        type_info = inspect.type_info(self.annotation)
        if not isinstance(type_info, inspect.Metadata):
            return ""
        return str((type_info.extra_json_schema or {}).get("description", ""))

    def accepts(self, value: object) -> bool:
        """Whether the key may have this value."""
        if isinstance(value, float) and not math.isfinite(value):
            return False  # msgspec's comparisons with the limits do not reject NaN
        try:
            msgspec.convert(value, self.annotation)
        except msgspec.ValidationError:
            return False
        return True

    def expected_value(self) -> str:
        """Return a description of the valid values, for error messages and the reference page."""
        expected = "a table"
        match self.type:
            case inspect.BoolType():
                expected = "true or false"
            case inspect.IntType() as integer:
                expected = f"a whole number from {integer.ge} to {integer.le}"
            case inspect.FloatType() as number:
                expected = f"a number from {number.ge:g} to {number.le:g}"
            case inspect.LiteralType() as literal:
                expected = " or ".join(repr(value) for value in literal.values)
            case inspect.StrType() as string:
                expected = f"a text of at most {string.max_length} characters"
            case inspect.VarTupleType() as array:
                expected = f"a list of at most {array.max_length} texts"
            case inspect.DictType() as table:
                expected = f"a table of at most {table.max_length} texts"
        return expected


def field_type_of(info: structs.FieldInfo) -> FieldType:
    """Return the type of one field of a Struct."""
    is_table = isinstance(info.type, type) and issubclass(info.type, Struct)
    return FieldType(info.type, default_of(info), fields_of(info.type) if is_table else {})


def default_of(info: structs.FieldInfo) -> Any:
    """Return the default of a field of a Struct, or None if it has none."""
    if info.default is not NODEFAULT:
        return info.default
    if info.default_factory is not NODEFAULT:
        return info.default_factory()
    return None


def fields_of(table: type[Struct]) -> dict[str, FieldType]:
    """Return the types of all fields of a Struct, by name."""
    return {info.name: field_type_of(info) for info in structs.fields(table)}


@cache
def operator_file_type() -> FieldType:
    """Return the type of the whole operator file."""
    return FieldType(Operator, Operator(), fields_of(Operator))
