"""What a gateway needs from the platform it runs on; implemented by ``egretrail.platform``."""

import abc
import enum
from collections.abc import Generator, Sequence
from dataclasses import dataclass, field

from result import Result

from egretrail.cluster import at_once
from egretrail.dispatch import QuotaTerms
from egretrail.http1 import Answer, ReceivedAnswer, Request
from egretrail.store import Entry
from egretrail.traffic import FleetConfig, UpstreamRecord


@dataclass(frozen=True, slots=True)
class StartSettings:
    """The settings of one gateway instance that only a start takes over.

    Others know the instance by them: it is listed, heard and called under them until it ends.
    """

    #: The instance's name.
    name: str
    #: The instance's address; ports are the same on all instances.
    ip: str
    #: Its availability zone.
    availability_zone: str
    #: Where callers' requests arrive, ``IP:PORT``.
    traffic_address: str
    #: Where readiness is asked for.
    ready_address: str
    #: Where callers ask which addresses to use.
    directory_address: str
    #: The port of the peers' protocol, over TCP and UDP.
    peer_port: int
    #: The port of metrics.
    metrics_port: int


@dataclass(frozen=True, slots=True)
class GatewaySettings(StartSettings):
    """All settings of one gateway instance; those named here are taken over while it runs."""

    #: Addresses of some instances that may be up, without ports.
    seeds: Sequence[str]
    #: The store, ``IP:PORT``.
    store_address: str
    #: Memory that the process may use.
    memory_mb: int
    #: The share of a core times its speed; instances with more take more callers.
    capacity: float
    #: Time between a termination signal and the kill.
    stop_grace_s: float
    #: Callers keep a directory answer for at most this long.
    directory_ttl_max_s: float
    #: Repeats of a service's requests per request, in any window.
    repeat_ratio: float
    #: The window of the repeat budget.
    repeat_window_s: float
    #: Repeats that a service may have in a window beyond the ratio.
    repeat_slack: float
    #: Requests with an API key that has ended are refused after this time at the latest, also by an
    #: instance that hears of nothing; None where such an instance serves on.
    revocation_s: float | None = None
    #: In which time the quotas of client accounts hold, and how far they may be passed.
    quota_terms: QuotaTerms = field(default_factory=QuotaTerms)


@dataclass(frozen=True, slots=True)
class InvalidDocument:
    """A value of the store or a settings file that cannot be used."""

    #: Which value.
    path: str
    #: All faults that were found.
    faults: Sequence[str]

    def __str__(self) -> str:
        return f"{self.path} is invalid: {'; '.join(self.faults)}"


class StoreLayout(abc.ABC):
    """Where the store keeps what gateways read, and how it is decoded."""

    #: The path of the configuration.
    config_path: str
    #: The prefix of the upstreams' entries.
    upstreams_prefix: str
    #: The prefix under which gateways list themselves.
    instances_prefix: str

    @abc.abstractmethod
    def read_config(
        self, value: bytes
    ) -> Generator[None, None, Result[FleetConfig, InvalidDocument]]:
        """Read the configuration in slices: other work may be done at each ``yield``.

        Load: reading 4,000 routes at once stops a weak instance for some tenths of a second.
        """

    def decode_config(self, value: bytes) -> Result[FleetConfig, InvalidDocument]:
        """Read the configuration at once."""
        return at_once(self.read_config(value))

    @abc.abstractmethod
    def decode_upstream(self, entry: Entry) -> Result[UpstreamRecord, InvalidDocument]:
        """Read an upstream's entry."""


class AnswerKind(enum.Enum):
    """What an upstream's answer says about the request."""

    #: A whole answer for the client.
    SERVED = "served"
    #: The upstream states that it did not run the request.
    NOT_RUN = "not_run"
    #: Another upstream has the address; it did not run the request.
    WRONG_UPSTREAM = "wrong_upstream"
    #: The upstream ran the request and failed.
    FAILED = "failed"
    #: The request's time ended while the upstream ran it.
    EXPIRED = "expired"
    #: No valid answer of an upstream; the request may have run.
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class CallerTerms:
    """What a client's request says besides its target."""

    #: The client attempt's id; empty where the client gave none.
    attempt_id: str
    #: The host, empty where the client gave none.
    host: str
    #: How long the client waits from the request's arrival; None where it does not say.
    wait_s: float | None
    #: Its API key; None where it carries none, or more than one.
    api_key: bytes | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The load that an upstream states in an answer."""

    #: Requests that it runs.
    running: int
    #: Requests that wait for a slot.
    waiting: int


@dataclass(frozen=True, slots=True)
class InvalidLimit:
    """A limit in an answer that is no number of requests a second."""

    #: What stands there.
    stated: str

    def __str__(self) -> str:
        return f"no number of requests a second: {self.stated!r}"


class RequestContract(abc.ABC):
    """The headers and statuses that callers, gateways and upstreams use between them."""

    @abc.abstractmethod
    def caller_terms(self, request: Request) -> CallerTerms:
        """Read what a client's request says."""

    @abc.abstractmethod
    def upstream_headers(
        self, request: Request, upstream_name: str, left_s: float, account: str | None = None
    ) -> list[tuple[bytes, bytes]]:
        """Return the fields of the request as it is sent to an upstream.

        They have the name of its client account, or none, and never an API key.
        """

    @abc.abstractmethod
    def belongs(self, answer: ReceivedAnswer, attempt_id: str) -> bool:
        """Return whether an answer belongs to a client attempt."""

    @abc.abstractmethod
    def kind(self, answer: ReceivedAnswer) -> AnswerKind:
        """Return what an upstream's answer says."""

    @abc.abstractmethod
    def reported_load(self, answer: ReceivedAnswer) -> ReportedLoad | None:
        """Return the load that an answer states."""

    @abc.abstractmethod
    def named_limit(self, answer: ReceivedAnswer) -> Result[float | None, InvalidLimit]:
        """Return how many requests a second its upstream takes from all instances together.

        None where it names no limit, so that the one it named before has ended.
        """

    @abc.abstractmethod
    def answer(self, received: ReceivedAnswer) -> Answer:
        """Return an upstream's answer as it is passed to the client, unchanged in its meaning."""

    @abc.abstractmethod
    def not_run(self, retry_after_s: float, *, close: bool = False) -> Answer:
        """Return the answer that promises that a request has not run and never will."""

    @abc.abstractmethod
    def over_quota(self, retry_after_s: float) -> Answer:
        """Return the answer to a request that its quota has no room for; it never runs."""

    @abc.abstractmethod
    def directory_answer(self, addresses: Sequence[str], ttl_s: float) -> Answer:
        """Return the answer to a client that asks which addresses to use."""

    @abc.abstractmethod
    def is_ready_question(self, request: Request) -> bool:
        """Return whether a request asks if the instance is ready."""

    @abc.abstractmethod
    def directory_zone(self, request: Request) -> str | None:
        """Return the zone of a client that asks for addresses; None for another request."""
