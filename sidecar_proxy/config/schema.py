"""The tables of the operator file as msgspec Structs: types, limits, defaults and descriptions.

The name of a field is the key in the file, and the name of a field of `Operator` is that of a table. They
must not change, because operators' files contain them. The checks, `config show` and the reference page are
derived from these classes. To add a table, define a Struct with a docstring and add a field to `Operator`.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

MAX_METHODS = 10_000
Text = Annotated[str, Meta(max_length=4096)]
Texts = Annotated[tuple[Text, ...], Meta(max_length=100)]


def between(minimum: float, maximum: float, description: str) -> Meta:
    """Return the inclusive limits and the description of a number."""
    return Meta(ge=minimum, le=maximum, description=description)


def described(description: str) -> Meta:
    """Return the description of a key without limits of its own."""
    return Meta(description=description)


class Table(Struct, frozen=True, forbid_unknown_fields=True):
    """The base of all tables. An unknown key is an error, because a misspelt key would have no effect."""


class Grpc(Table, frozen=True):
    """gRPC over HTTP/2 with prior knowledge, on the listener of HTTP/1.1."""

    enabled: Annotated[bool, described("whether gRPC is served")] = False
    methods: Annotated[
        dict[str, str],
        Meta(
            max_length=MAX_METHODS,
            description='the request class of each method: "/package.Service/Method" or "/package.Service/*"',
        ),
    ] = field(default_factory=dict)
    streams: Annotated[int, between(1, 10_000, "maximum of open calls on a client connection")] = 100
    buffered_kib: Annotated[
        int, between(256, 4 * 1024 * 1024, "maximum buffered for all peers that do not read")
    ] = 16 * 1024
    idle_s: Annotated[float, between(0.1, 86_400.0, "connections without a call are closed after this")] = (
        60.0
    )
    ping_s: Annotated[
        float,
        between(
            0.1,
            3600.0,
            "an upstream connection that is silent during calls is pinged after this, and closed if it "
            "stays silent as long again",
        ),
    ] = 2.0
    probe: Annotated[Literal["http", "grpc"], described("the protocol of health checks of upstreams")] = (
        "http"
    )


class Etcd(Table, frozen=True):
    """Upstreams under a prefix of etcd, in addition to those of discovery. Off if `endpoints` is empty."""

    endpoints: Annotated[Texts, described("HOST:PORT of the etcd members")] = ()
    prefix: Annotated[
        Text, described("a key is this and an upstream's name; its value is an entry as in discovery's list")
    ] = "/komiks/nodes/"
    username: Annotated[Text, described("etcd user; needs password_file")] = ""
    password_file: Annotated[Text, described("file that holds only the password")] = ""
    tls_ca: Annotated[Text, described("file of trusted certificates; any of the tls keys turns TLS on")] = ""
    tls_cert: Annotated[Text, described("file of the client certificate")] = ""
    tls_key: Annotated[Text, described("file of its private key; needs tls_cert")] = ""


class Membership(Table, frozen=True):
    """Sources of upstreams in addition to discovery."""

    etcd: Etcd = field(default_factory=Etcd)
    socket: Annotated[Text, described('path of the Unix socket for the `members` command; "" = none')] = ""


class Gossip(Table, frozen=True):
    """Gossip with other sidecars about faults of upstreams. Off if `bind` is empty."""

    bind: Annotated[Text, described("HOST:PORT to listen on, UDP and TCP; port 0 = chosen by the system")] = (
        ""
    )
    advertise: Annotated[
        Text, described('HOST:PORT at which other sidecars reach this one; "" = that of bind')
    ] = ""
    seeds: Annotated[Texts, described("HOST:PORT of some other sidecars")] = ()
    key_file: Annotated[
        Text, described("this sidecar's private key; read again when it changes, like the files below")
    ] = ""
    certificate_file: Annotated[Text, described("this sidecar's certificate, signed by the fleet")] = ""
    fleet_keys: Annotated[Texts, described("files of the fleet's public keys, one per line")] = ()
    revoked_file: Annotated[Text, described("file of the serials of revoked certificates")] = ""
    socket: Annotated[
        Text, described('path of the Unix socket for the `gossip members` command; "" = none')
    ] = ""
    least_instances: Annotated[
        int,
        between(
            0, 100_000, "minimum number of sidecars that the balancer assumes; 0 = the number in the settings"
        ),
    ] = 0


class Overload(Table, frozen=True):
    """Overload control by all sidecars together; needs gossip."""

    enabled: Annotated[bool, described("whether overload control is on")] = False
    reissues_per_s: Annotated[
        float,
        between(0.0, 1e6, "maximum of requests that all sidecars together send again, to another upstream"),
    ] = 50.0
    probes_per_s: Annotated[float, between(0.0, 1e6, "maximum of probes by all sidecars together")] = 50.0
    tries_per_s: Annotated[
        float,
        between(
            0.1, 1e6, "attempts by all sidecars together at each upstream that fails half of its requests"
        ),
    ] = 4.0
    trace: Annotated[
        bool, described("whether each change of this sidecar's share of the budgets is logged")
    ] = False


class Agreement(Table, frozen=True):
    """Consensus: replicated commands, which hold for the whole fleet and survive the loss of a machine.

    Needs gossip. Off if `folder` is empty.
    """

    folder: Annotated[
        Text, described("folder of this sidecar alone, on a disk that lasts: its log and snapshots")
    ] = ""
    voters: Annotated[Literal[1, 3, 5], described("number of voters; all other sidecars are learners")] = 3
    votes: Annotated[bool, described("whether this sidecar may be a voter")] = True
    replace_s: Annotated[
        float, between(2.0, 86_400.0, "a voter that has been away for so long is replaced")
    ] = 60.0
    kib_per_s: Annotated[
        int, between(8, 1_000_000, "maximum rate of log and snapshot transfer to all other sidecars")
    ] = 256
    compact: Annotated[
        int, between(16, 100_000, "entries in the log after which it is compacted to a snapshot")
    ] = 1024


class Recorder(Table, frozen=True):
    """Flight recorder: the last inputs and outputs of the balancer, for the commands `replay` and `why`."""

    enabled: Annotated[bool, described("whether the balancer is recorded")] = False
    megabytes: Annotated[int, between(1, 4096, "memory for the recording; a frame takes some 30 bytes")] = 8
    folder: Annotated[
        Text,
        described(
            "where SIGUSR2, and a fault of the balancer, write the recording; "
            '"" = the system\'s folder of temporary files'
        ),
    ] = ""
    files: Annotated[int, between(1, 1000, "recordings of one sidecar that are retained there")] = 4
    spool_s: Annotated[
        float,
        between(
            0.0,
            3600.0,
            "interval at which all frames are written there as they come; a crash loses as much; 0 = off",
        ),
    ] = 0.0
    spool_megabytes: Annotated[int, between(1, 1024, "size of such a file at which it ends")] = 256


class Operator(Table, frozen=True):
    """The operator file."""

    grpc: Grpc = field(default_factory=Grpc)
    membership: Membership = field(default_factory=Membership)
    gossip: Gossip = field(default_factory=Gossip)
    overload: Overload = field(default_factory=Overload)
    agreement: Agreement = field(default_factory=Agreement)
    recorder: Recorder = field(default_factory=Recorder)
