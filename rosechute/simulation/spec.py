"""What a scenario file may hold. Times are texts with a unit; every key's meaning, unit and default stand here."""

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
    """A class of requests."""

    name: Name
    share: Positive = 1.0  # of all requests, in proportion to the other classes'
    repeat: Literal["free", "guarded", "single_shot"] = "free"
    group: Literal["all", "zone", "cell"] = "all"
    aim: Span = Span(500 * MS)  # an answer by then is worth all
    deadline: Span = Span(SECOND_NS)  # the client gives up
    window: Span = Span(5 * SECOND_NS)  # how long a guarded request's key is known to the servers
    worth: Positive = 1.0
    late_worth: Share = 0.0  # what an answer between aim and deadline is worth, of that
    work: Span = Span(20 * MS)  # mean, on one core at speed 1
    spread: Literal["exponential", "fixed", "lognormal"] = "exponential"
    sigma: Positive = 1.0  # of the logarithm, where lognormal


class Clients(Struct, frozen=True, forbid_unknown_fields=True):
    """Who asks: an open loop, so that a slow answer keeps nobody from asking."""

    rate: Positive = 200.0  # requests a second, mean over the run but for faults
    shape: SHAPES = "flat"
    depth: Share = 0.5  # how far the shape departs from the mean, as a part of it
    period: Span = Span(10 * SECOND_NS)  # of the shape
    retries: Annotated[int, Meta(ge=0, le=10)] = 0  # further requests by a client that was refused or failed
    backoff: Span = Span(100 * MS)  # before the first of them; doubles, with full jitter
    patience: Share = 0.5  # share of clients that wait as long as Retry-After says
    keys: Count = 1000
    skew: Annotated[float, Meta(ge=0, le=5)] = 1.0  # of the keys, by Zipf's law
    tenants: tuple[Positive, ...] = (1.0,)  # shares
    heavy: Whole = 0  # the instance, by number, that gets `heaviest` times what the others get in the mean ...
    heaviest: Positive | None = None  # ... those by chance half to one and a half times; evenly where absent
    population: Count = 1000  # distinct clients; a grey server may fail one in so many


class Fleet(Struct, frozen=True, forbid_unknown_fields=True):
    """The servers."""

    servers: Count = 10
    zones: Annotated[int, Meta(ge=1, le=64)] = 1
    cores: Annotated[int, Meta(ge=1, le=1024)] = 2
    slots: Count = 8  # requests in service at a time
    room: Whole = 16  # requests that wait; beyond, one is turned away as full
    speed: Positive = 1.0
    unlike: Share = 0.0  # speeds lie evenly in 1 - this to 1 + this, times `speed`
    crowding: Annotated[float, Meta(ge=0, le=10)] = 0.0  # loss of efficiency for each core's worth held too many
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.2  # share of its speed that a fresh server has
    cold: Span = Span(8 * SECOND_NS)  # until it has all of it
    fall_multiple: Positive = 3.0  # sent more than so many times its capacity, a cold server falls over ...
    fall: Span = Span(1500 * MS)  # ... for so long
    cache: Whole = 0  # keys that a server keeps; 0 for no cache
    cache_factor: Share = 0.3  # work of a request whose key is there, of the usual
    connections: Whole = 0  # cap for each server; 0 for none
    handshake: Span | None = None  # work of one more connection; none by default
    reports: Literal["none", "some", "rates"] = "none"  # whether answers tell what a server holds; and what it does


class Instances(Struct, frozen=True, forbid_unknown_fields=True):
    """The sidecars."""

    count: Count = 4
    attempts: Annotated[int, Meta(ge=1, le=20)] = 3
    second_copies: bool = False
    cancel: bool = True
    retry_after: bool = True
    probes: bool = False
    connect_timeout: Span = Span(250 * MS)
    idle: Span = Span(30 * SECOND_NS)  # after which a connection that is not used is closed
    restart: Span = Span(500 * MS)  # how long one takes to come back
    grace: Span = Span(250 * MS)  # how long after a drain is told a request may still go there


class Network(Struct, frozen=True, forbid_unknown_fields=True):
    """What lies between instances and servers, each way."""

    delay: Span = Span(MS // 4)
    across: Span = Span(MS)  # between zones
    jitter: Annotated[float, Meta(ge=0, le=10)] = 0.2  # mean of an exponential part, of the delay
    loss: Share = 0.0  # share of messages that are sent again after `again`, doubled each time
    again: Span = Span(200 * MS)


class Discovery(Struct, frozen=True, forbid_unknown_fields=True):
    """The server list: one queue for questions and news."""

    lag: Span = Span(50 * MS)  # from a change to its place in the queue
    per_s: Positive = 10_000.0  # messages that it sends
    late: Span | None = None  # so much later all that it says reaches ...
    late_share: Share = 0.5  # ... this share of the instances, the last ones
    subscribe: bool = True  # whether instances have to ask; else all are told of everything


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """One thing that goes wrong. docs/lab.md tells for each kind what `factor`, `share` and the rest mean."""

    kind: KINDS
    at: Span | None = None  # from the run's start; the start where absent
    lasts: Span = Span(5 * SECOND_NS)
    ramp: Span | None = None  # comes on, and goes, evenly over so long
    repeat: Annotated[int, Meta(ge=1, le=1000)] = 1
    every: Span | None = None  # from start to start of its repeats; `lasts` twice where absent
    servers: tuple[int, ...] = ()  # by number; where empty, `share` of them, drawn by the seed
    share: Share = 0.1
    zone: int = 0
    factor: Annotated[float, Meta(ge=0, le=1000)] = 0.2
    cls: str = ""
    clients: Annotated[int, Meta(ge=0)] = 0  # grey: fails one client in so many
    tenant: Annotated[int, Meta(ge=0)] = 0
    pause: Span = Span(2 * SECOND_NS)  # crash loop and deploy: how long a server is away
    recovers_below: Share = 0.5  # shared-slow: it ends only once the fleet is less busy than this


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """All of it."""

    name: Name
    about: str
    duration: Span = Span(30 * SECOND_NS)
    warmup: Span | None = None  # left out of the figures
    clients: Clients = Clients()
    fleet: Fleet = Fleet()
    instances: Instances = Instances()
    network: Network = Network()
    discovery: Discovery = Discovery()
    classes: tuple[Class, ...] = (Class("list-rooms"),)
    faults: tuple[Fault, ...] = ()
