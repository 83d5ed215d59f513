"""The decisions' records from plain values, checked. Pure.

Hazard: compiled, a record knows only the outer types of its fields (`list`, not `list[Upstream]`), so what is
read by its annotations would hold dictionaries in place of records. The inner types are said here; each has a
form that msgspec checks against, and is made of that.
"""

from __future__ import annotations

from dataclasses import MISSING, dataclass, fields
from types import GenericAlias
from typing import Any, get_type_hints

import msgspec

from sidecar_proxy.balancer import events as api
from sidecar_proxy.recorder.stored_names import stored_class_name, stored_field_names

INNER: dict[tuple[str, str], Any] = {
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
RECORDS: dict[tuple[str, str], Any] = {  # lists of records
    ("UpstreamsUpdated", "upstreams"): api.Upstream,
    ("Learnt", "upstreams"): api.WarmStartUpstream,
    ("Settings", "classes"): api.RequestClass,
    ("Settings", "tenants"): api.Tenant,
}


@dataclass(slots=True, frozen=True)
class Form:
    """How one kind of record is read."""

    record_class: Any
    struct: type[msgspec.Struct]
    inner: dict[str, Form]  # of fields that are lists of records
    stored_names: dict[str, str]  # by the name in the code

    def of(self, value: Any) -> Any:
        """The record, of a value of `struct`. Raises ValueError for what the record itself refuses."""
        found = {name: getattr(value, stored) for name, stored in self.stored_names.items()}
        for name, form in self.inner.items():
            found[name] = [form.of(one) for one in found[name]]
        return self.record_class(**found)

    def read(self, told: Any) -> Any:
        """Raises msgspec.ValidationError and ValueError."""
        return self.of(msgspec.convert(told, self.struct))


def form_of(kind: Any) -> Form:
    """Of one of the decisions' records, or of a dataclass like them."""
    hints, name = get_type_hints(kind), stored_class_name(kind)
    stored_names = stored_field_names(kind)
    inner = {
        one.name: form_of(RECORDS[name, one.name]) for one in fields(kind) if (name, one.name) in RECORDS
    }
    told: list[Any] = []
    for one in fields(kind):
        stored = stored_names[one.name]
        hint = INNER.get((name, stored), hints[one.name])
        if one.name in inner:
            hint = GenericAlias(list, (inner[one.name].struct,))
        if one.default is not MISSING:
            told.append((stored, hint, one.default))
        elif one.default_factory is not MISSING:
            told.append((stored, hint, msgspec.field(default_factory=one.default_factory)))
        else:
            told.append((stored, hint))
    struct = msgspec.defstruct(name, told, kw_only=True, forbid_unknown_fields=True)
    return Form(kind, struct, inner, stored_names)
