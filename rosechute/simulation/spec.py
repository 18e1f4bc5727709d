"""Schema of scenario files, with the meaning, unit and default of every key. Times are strings with a unit."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

from rosechute.sidecar.operator_configuration.units import SECOND_NS, Span

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Count = Annotated[int, Meta(ge=1, le=100_000)]
Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0, le=1e9)]
Whole = Annotated[int, Meta(ge=0, le=10_000_000)]
MS = 1_000_000

SHAPES = Literal["flat", "daily", "burst", "square", "ramp"]
KINDS = Literal[
    "slow",
    "hang",
    "grey",
    "crash-loop",
    "rolling-deploy",
    "mass-restart",
    "shared-slow",
    "tenant-burst",
    "load",
    "zone-loss",
    "partition",
    "one-way-cut",
    "loss",
    "discovery-down",
    "discovery-stale",
    "discovery-lies",
    "false-reports",
    "drain",
]


class Class(Struct, frozen=True, forbid_unknown_fields=True):
    """Request class."""

    name: Name
    share: Positive = 1.0  # weight in the request mix, relative to the other classes
    repeat: Literal["free", "guarded", "single_shot"] = "free"
    group: Literal["all", "zone", "cell"] = "all"
    aim: Span = Span(500 * MS)  # latency target: an answer within it has full value
    deadline: Span = Span(SECOND_NS)  # client timeout
    window: Span = Span(5 * SECOND_NS)  # how long servers remember the idempotency key of a guarded request
    worth: Positive = 1.0
    late_worth: Share = 0.0  # value of an answer between aim and deadline, as a fraction of `worth`
    work: Span = Span(20 * MS)  # mean service time on one core at speed 1
    spread: Literal["exponential", "fixed", "lognormal"] = "exponential"
    sigma: Positive = 1.0  # standard deviation of the logarithm, for lognormal


class Clients(Struct, frozen=True, forbid_unknown_fields=True):
    """Open-loop clients: slow answers do not reduce the arrival rate."""

    rate: Positive = 200.0  # mean requests per second, before faults
    shape: SHAPES = "flat"
    depth: Share = 0.5  # amplitude of the shape, as a fraction of the mean
    period: Span = Span(10 * SECOND_NS)  # period of the shape
    retries: Annotated[int, Meta(ge=0, le=10)] = 0  # retries by a client after a refusal or failure
    backoff: Span = Span(100 * MS)  # before the first retry; doubles, with full jitter
    patience: Share = 0.5  # fraction of clients that honour Retry-After
    keys: Count = 1000
    skew: Annotated[float, Meta(ge=0, le=5)] = 1.0  # Zipf exponent of the keys
    tenants: tuple[Positive, ...] = (1.0,)  # weights
    heavy: Whole = 0  # number of the instance that gets `heaviest` times the mean traffic of the others
    heaviest: Positive | None = None  # if set, the others get a random 0.5 to 1.5 times their mean; if not, all equal
    population: Count = 1000  # number of distinct clients; a grey server may fail one in so many


class Fleet(Struct, frozen=True, forbid_unknown_fields=True):
    """Servers."""

    servers: Count = 10
    zones: Annotated[int, Meta(ge=1, le=64)] = 1
    cores: Annotated[int, Meta(ge=1, le=1024)] = 2
    slots: Count = 8  # maximum of requests in service
    room: Whole = 16  # queue length; a request that finds the queue full is rejected
    speed: Positive = 1.0
    unlike: Share = 0.0  # speeds are uniform in (1 - unlike) to (1 + unlike), times `speed`
    crowding: Annotated[float, Meta(ge=0, le=10)] = 0.0  # efficiency loss per core for requests held beyond the cores
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.2  # initial speed of a cold server, as a fraction
    cold: Span = Span(8 * SECOND_NS)  # warm-up time to full speed
    fall_multiple: Positive = 3.0  # a cold server crashes if sent more than this multiple of its capacity ...
    fall: Span = Span(1500 * MS)  # ... over a window of this length
    cache: Whole = 0  # number of keys in a server's cache; 0 for no cache
    cache_factor: Share = 0.3  # work of a request on a cache hit, as a fraction
    connections: Whole = 0  # connection limit of a server; 0 for none
    handshake: Span | None = None  # extra work of a new connection; none by default
    reports: Literal["none", "some", "rates"] = "none"  # load reports in answers: "some" gauges, "rates" also rates


class Instances(Struct, frozen=True, forbid_unknown_fields=True):
    """Sidecars."""

    count: Count = 4
    attempts: Annotated[int, Meta(ge=1, le=20)] = 3
    second_copies: bool = False
    cancel: bool = True
    retry_after: bool = True
    probes: bool = False
    connect_timeout: Span = Span(250 * MS)
    idle: Span = Span(30 * SECOND_NS)  # idle timeout of connections
    restart: Span = Span(500 * MS)  # downtime of a restart
    grace: Span = Span(250 * MS)  # how long requests may still be sent to a server after its drain was announced


class Network(Struct, frozen=True, forbid_unknown_fields=True):
    """Network between instances and servers, per direction."""

    delay: Span = Span(MS // 4)
    across: Span = Span(MS)  # delay between zones
    jitter: Annotated[float, Meta(ge=0, le=10)] = 0.2  # mean of the exponential jitter, as a fraction of the delay
    loss: Share = 0.0  # fraction of messages lost and retransmitted after `again`, doubled each time
    again: Span = Span(200 * MS)


class Discovery(Struct, frozen=True, forbid_unknown_fields=True):
    """Discovery service with one queue for answers and updates."""

    lag: Span = Span(50 * MS)  # delay from a change to its update being queued
    per_s: Positive = 10_000.0  # messages sent per second
    late: Span | None = None  # additional delay of all messages to ...
    late_share: Share = 0.5  # ... this fraction of the instances, those with the highest numbers
    subscribe: bool = True  # whether instances must subscribe; otherwise all receive every update


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """Injected fault. docs/lab.md describes `factor`, `share` and the other keys for each kind."""

    kind: KINDS
    at: Span | None = None  # offset from the start of the run; 0 if absent
    lasts: Span = Span(5 * SECOND_NS)
    ramp: Span | None = None  # duration of the linear rise and fall
    repeat: Annotated[int, Meta(ge=1, le=1000)] = 1
    every: Span | None = None  # interval between starts of repetitions; twice `lasts` if absent
    servers: tuple[int, ...] = ()  # server numbers; if empty, a random `share` of all servers
    share: Share = 0.1
    zone: int = 0
    factor: Annotated[float, Meta(ge=0, le=1000)] = 0.2
    cls: str = ""
    clients: Annotated[int, Meta(ge=0)] = 0  # grey: fails one client in this many
    tenant: Annotated[int, Meta(ge=0)] = 0
    pause: Span = Span(2 * SECOND_NS)  # crash loop and deploy: downtime of a server
    recovers_below: Share = 0.5  # shared-slow: the fault ends only when the fleet's utilisation is below this


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """Complete scenario."""

    name: Name
    about: str
    duration: Span = Span(30 * SECOND_NS)
    warmup: Span | None = None  # initial time excluded from the statistics
    clients: Clients = Clients()
    fleet: Fleet = Fleet()
    instances: Instances = Instances()
    network: Network = Network()
    discovery: Discovery = Discovery()
    classes: tuple[Class, ...] = (Class("list-rooms"),)
    faults: tuple[Fault, ...] = ()
