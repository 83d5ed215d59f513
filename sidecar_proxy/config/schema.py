"""The operator file's tables as msgspec Structs: types, limits, defaults and meanings, each said once.

What is checked, shown and printed as the reference page all comes from here. A new table is a Struct with a
docstring, and a field of `Operator`.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

MOST_METHODS = 10_000
Text = Annotated[str, Meta(max_length=4096)]
Texts = Annotated[tuple[Text, ...], Meta(max_length=100)]


def number(least: float, most: float, description: str) -> Meta:
    return Meta(ge=least, le=most, description=description)


def said(description: str) -> Meta:
    return Meta(description=description)


class Table(Struct, frozen=True, forbid_unknown_fields=True):
    """Unknown keys are errors: a misspelt key that is passed over turns nothing on, and nobody learns it."""


class Grpc(Table, frozen=True):
    """Calls by HTTP/2 with prior knowledge, on the listener of HTTP/1.1."""

    enabled: Annotated[bool, said("whether gRPC is spoken")] = False
    methods: Annotated[
        dict[str, str],
        Meta(
            max_length=MOST_METHODS,
            description='a class for each method: "/package.Service/Method" or "/package.Service/*"',
        ),
    ] = field(default_factory=dict)
    streams: Annotated[int, number(1, 10_000, "calls that one client's connection may have open")] = 100
    buffered_kib: Annotated[int, number(256, 4 * 1024 * 1024, "held for all peers that do not read")] = (
        16 * 1024
    )
    idle_s: Annotated[float, number(0.1, 86_400.0, "connections without a call are ended after this")] = 60.0
    ping_s: Annotated[
        float,
        number(0.1, 3600.0, "a node's connection, silent under calls, is asked; given up as long after"),
    ] = 2.0
    probe: Annotated[Literal["http", "grpc"], said("how nodes' health is asked")] = "http"


class Etcd(Table, frozen=True):
    """Nodes under a prefix of etcd, followed beside the roster. Off where no endpoint is named."""

    endpoints: Annotated[Texts, said("HOST:PORT of the members")] = ()
    prefix: Annotated[Text, said("a key is this and a node's name, its value an entry of discovery's")] = (
        "/komiks/nodes/"
    )
    username: Annotated[Text, said("of etcd's own users; needs password_file")] = ""
    password_file: Annotated[Text, said("a file that holds the password alone")] = ""
    tls_ca: Annotated[Text, said("any of the tls keys turns TLS on; a file of trusted certificates")] = ""
    tls_cert: Annotated[Text, said("our certificate's file")] = ""
    tls_key: Annotated[Text, said("and its key's; needs tls_cert")] = ""


class Membership(Table, frozen=True):
    """Sources of nodes beside the roster."""

    etcd: Etcd = field(default_factory=Etcd)
    socket: Annotated[Text, said('where `members` asks, a path on this machine; "" = nowhere')] = ""


class Gossip(Table, frozen=True):
    """What other sidecars have seen of nodes. Off where no address is named."""

    bind: Annotated[Text, said("HOST:PORT, by UDP and TCP; port 0 = the system's choice")] = ""
    advertise: Annotated[Text, said("where the others reach it, if not there")] = ""
    seeds: Annotated[Texts, said("HOST:PORT of some others")] = ()
    key_file: Annotated[Text, said("its private key; read anew when it changes, as the files below")] = ""
    certificate_file: Annotated[Text, said("the fleet's word for it")] = ""
    fleet_keys: Annotated[Texts, said("files of the fleet's public keys, one a line")] = ()
    revoked_file: Annotated[Text, said("serials that are not listened to")] = ""
    socket: Annotated[Text, said('where `gossip members` asks, a path on this machine; "" = nowhere')] = ""
    least_instances: Annotated[
        int, number(0, 100_000, "never fewer to the decisions; 0 = the settings' number")
    ] = 0


class Overload(Table, frozen=True):
    """Overload handled by all sidecars as one, by what they tell each other; needs gossip."""

    enabled: Annotated[bool, said("whether it is on")] = False
    reissues_per_s: Annotated[
        float, number(0.0, 1e6, "requests that all sidecars together may send to another node again")
    ] = 50.0
    probes_per_s: Annotated[float, number(0.0, 1e6, "probes of all together")] = 50.0
    tries_per_s: Annotated[
        float, number(0.1, 1e6, "sends of all together to each node that fails half of what it gets")
    ] = 4.0
    trace: Annotated[bool, said("each change of its part of the budgets is written to the log")] = False


class Agreement(Table, frozen=True):
    """Words that are one for the fleet and are not lost with a machine; needs gossip. Off where no folder is
    named."""

    folder: Annotated[Text, said("of this sidecar alone, on a disk that lasts: what it has promised")] = ""
    voters: Annotated[Literal[1, 3, 5], said("sidecars that decide together; the others learn")] = 3
    votes: Annotated[bool, said("whether this one may be one of them")] = True
    replace_s: Annotated[float, number(2.0, 86_400.0, "a voter that is away for so long is replaced")] = 60.0
    kib_per_s: Annotated[int, number(8, 1_000_000, "to all who fetch what they lack")] = 256
    compact: Annotated[int, number(16, 100_000, "words in the log, then they become a snapshot")] = 1024


class Recorder(Table, frozen=True):
    """What went into the decisions and what came out, the last of it: for `replay` and `why`."""

    enabled: Annotated[bool, said("whether it is kept")] = False
    megabytes: Annotated[int, number(1, 4096, "of memory for it; a step takes some 30 bytes")] = 8
    folder: Annotated[
        Text, said('where SIGUSR2, and a fault of the decisions, write it to; "" = the system\'s own')
    ] = ""
    files: Annotated[int, number(1, 1000, "recordings of one sidecar that are kept there")] = 4
    spool_s: Annotated[
        float,
        number(0.0, 3600.0, "all is written there as it comes, so often; the end loses as much; 0 = not"),
    ] = 0.0
    spool_megabytes: Annotated[int, number(1, 1024, "of one such file, then it ends")] = 256


class Operator(Table, frozen=True):
    """The whole file."""

    grpc: Grpc = field(default_factory=Grpc)
    membership: Membership = field(default_factory=Membership)
    gossip: Gossip = field(default_factory=Gossip)
    overload: Overload = field(default_factory=Overload)
    agreement: Agreement = field(default_factory=Agreement)
    recorder: Recorder = field(default_factory=Recorder)
