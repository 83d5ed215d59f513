"""Validates plain decoded values, and builds the balancer's records from them. Pure.

A record class that mypyc has compiled has annotations with only the outer types of its fields (`list`, not
`list[Upstream]`). Decoded by these annotations alone, a field would contain dictionaries in place of records.
The inner types are therefore listed here. Each record class gets a msgspec struct that the values are checked
against, and records are built from instances of that struct.
"""

from __future__ import annotations

from dataclasses import MISSING, dataclass, fields
from types import GenericAlias
from typing import Any, get_type_hints

import msgspec

from sidecar_proxy.balancer import events as api
from sidecar_proxy.recorder.stored_names import stored_class_name, stored_field_names

# by the stored names of a class and its field: the complete type of the field
FIELD_TYPES: dict[tuple[str, str], Any] = {
    ("AttemptEnded", "report"): list[float],
    ("ProbeEnded", "report"): list[float],
    ("Learnt", "answers_us"): list[float],
    ("Overload", "kept"): list[float],
    ("Overload", "returning"): list[float],
    ("TellPeer", "to"): int | None,
    ("Settings", "report_names"): list[str],
    ("Settings", "zones"): list[str],
    ("Settings", "kinds"): list[str],
}
# by the stored name of a class and the name of its field: the class of the records in a list
LIST_RECORDS: dict[tuple[str, str], Any] = {
    ("UpstreamsUpdated", "upstreams"): api.Upstream,
    ("Learnt", "upstreams"): api.WarmStartUpstream,
    ("Settings", "classes"): api.RequestClass,
    ("Settings", "tenants"): api.Tenant,
}


@dataclass(slots=True, frozen=True)
class RecordSchema:
    """Reads the records of one class."""

    record_class: Any
    struct: type[msgspec.Struct]
    inner: dict[str, RecordSchema]  # the schemas of the fields that are lists of records, by field name
    stored_names: dict[str, str]  # stored name of each field, by its name in the code

    def to_record(self, value: Any) -> Any:
        """Build the record from an instance of `struct`.

        Raises ValueError if the record class rejects a value.
        """
        values = {name: getattr(value, stored) for name, stored in self.stored_names.items()}
        for name, schema in self.inner.items():
            values[name] = [schema.to_record(item) for item in values[name]]
        return self.record_class(**values)

    def read(self, value: Any) -> Any:
        """Build the record from a decoded mapping. Raises msgspec.ValidationError and ValueError."""
        return self.to_record(msgspec.convert(value, self.struct))


def record_schema(record_class: Any) -> RecordSchema:
    """Return the schema of one of the balancer's record classes, or of another dataclass."""
    hints, name = get_type_hints(record_class), stored_class_name(record_class)
    stored_names = stored_field_names(record_class)
    inner = {
        record_field.name: record_schema(LIST_RECORDS[name, record_field.name])
        for record_field in fields(record_class)
        if (name, record_field.name) in LIST_RECORDS
    }
    struct_fields: list[Any] = []
    for record_field in fields(record_class):
        stored = stored_names[record_field.name]
        hint = FIELD_TYPES.get((name, stored), hints[record_field.name])
        if record_field.name in inner:
            hint = GenericAlias(list, (inner[record_field.name].struct,))
        if record_field.default is not MISSING:
            struct_fields.append((stored, hint, record_field.default))
        elif record_field.default_factory is not MISSING:
            struct_fields.append((stored, hint, msgspec.field(default_factory=record_field.default_factory)))
        else:
            struct_fields.append((stored, hint))
    struct = msgspec.defstruct(name, struct_fields, kw_only=True, forbid_unknown_fields=True)
    return RecordSchema(record_class, struct, inner, stored_names)
