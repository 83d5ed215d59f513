"""The wire format of the overload messages."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sidecar_proxy.overload_control import messages
from sidecar_proxy.overload_control.messages import (
    ClassLoad,
    LeaseGrant,
    LeaseRecord,
    LeaseRequest,
    LeaseReturn,
    MessageError,
    OverloadMessage,
    Report,
)

# The bytes were encoded by an older version, with which this one has to be compatible.
WIRE_FORMS = [
    pytest.param(
        Report(
            index=3,
            generation=7,
            has_retry_storm=True,
            usable_parts=166666,
            lendable_parts=1000,
            rejected_per_1000_s=2500,
            capacity_permille=1150,
            is_unconstrained=False,
            backlog=12,
            classes=[
                ClassLoad(
                    demand_per_1000_s=30000,
                    returning_per_1000_s=5000,
                    served_per_1000_s=20000,
                    busy_us_per_s=2000000,
                )
            ],
            leases=[LeaseRecord(borrower="s1", parts=5000)],
        ),
        "9c010307c3ce00028b0acd03e8cd09c4cd047ec20c9194cd7530cd1388cd4e20ce001e84809192a27331cd1388",
        id="report",
    ),
    pytest.param(
        LeaseRequest(lease_id=7, requested_us=8, parts=9, renews=0), "950207080900", id="lease request"
    ),
    pytest.param(LeaseGrant(lease_id=7, requested_us=8, parts=9), "9403070809", id="lease grant"),
    pytest.param(LeaseReturn(lease_id=7), "920407", id="lease return"),
]


@pytest.mark.parametrize(("message", "wire_form"), WIRE_FORMS)
def test_message_encodes_to_its_wire_form(message: OverloadMessage, wire_form: str) -> None:
    assert messages.encode(message).hex() == wire_form


@pytest.mark.parametrize(("message", "wire_form"), WIRE_FORMS)
def test_wire_form_decodes_to_its_message(message: OverloadMessage, wire_form: str) -> None:
    assert messages.decode(bytes.fromhex(wire_form)) == message


@given(st.binary(max_size=600))
def test_arbitrary_bytes_decode_or_raise_message_error_of_one_line(data: bytes) -> None:
    error_text = ""
    try:
        messages.decode(data)
    except MessageError as error:
        error_text = str(error)
    assert "\n" not in error_text


def test_values_appended_by_a_newer_version_are_ignored() -> None:
    request = LeaseRequest(7, 8, 9, 0)
    values = msgspec.msgpack.decode(messages.encode(request))
    assert messages.decode(messages.encode([*values, "new"])) == request


def test_unknown_tag_raises_message_error() -> None:
    with pytest.raises(MessageError):
        messages.decode(messages.encode([99, 1, 2]))


def test_message_over_the_size_limit_raises_message_error() -> None:
    limit = messages.MAX_MESSAGE_BYTES
    with pytest.raises(MessageError, match=f"message of {limit + 1} bytes, the maximum is {limit}"):
        messages.decode(b"\x00" * (limit + 1))
