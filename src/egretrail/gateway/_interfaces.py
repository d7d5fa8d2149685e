"""What a gateway needs from its platform; implemented by ``egretrail.platform``."""

import abc
import enum
from collections.abc import Generator, Sequence
from dataclasses import dataclass, field

from result import Err, Ok, Result

from egretrail.cluster import run_to_completion
from egretrail.dispatch import QuotaTerms
from egretrail.http1 import ReceivedResponse, Request, Response, ResponseOwner
from egretrail.store import Entry
from egretrail.supervision import describe_error
from egretrail.traffic import FleetConfig, UpstreamRecord, upstream_key


@dataclass(frozen=True, slots=True)
class StartupSettings:
    """The settings of a gateway instance that are applied only at a start.

    They identify the instance to its peers, to clients and in the store, so they stay the same
    until the process ends.
    """

    #: The instance's name.
    name: str
    #: The instance's IP address; ports are the same on all instances.
    ip: str
    #: Its availability zone.
    availability_zone: str
    #: Where clients' requests are accepted, ``IP:PORT``.
    traffic_address: str
    #: Where readiness probes are answered, ``IP:PORT``.
    ready_address: str
    #: Where clients query the directory for instance addresses, ``IP:PORT``.
    directory_address: str
    #: The port of the protocol between peers, over TCP and UDP.
    peer_port: int
    #: The port on which metrics are served.
    metrics_port: int
    #: The port on which the requests of isolated instances are accepted.
    relay_port: int


@dataclass(frozen=True, slots=True)
class GatewaySettings(StartupSettings):
    """All settings of a gateway instance; the fields of this class can change while it runs."""

    #: IP addresses of instances that are contacted first; some may be down.
    seeds: Sequence[str]
    #: The store's address, ``IP:PORT``.
    store_address: str
    #: Memory that the process may use, in MiB.
    memory_mb: int
    #: CPU share times relative speed of the core. Instances with more accept more clients.
    capacity: float
    #: Stop grace period: the time between a termination signal and the kill.
    stop_grace_s: float
    #: The longest time for which clients may cache a directory response.
    directory_ttl_max_s: float
    #: Retry budget: retries of a service's requests per request, in any window.
    repeat_ratio: float
    #: The window of the retry budget.
    repeat_window_s: float
    #: Retries that a service may have in a window in addition to the ratio.
    repeat_slack: float
    #: Requests with a revoked API key are refused at the latest after this time, also by an
    #: instance that receives no updates; None if such an instance may go on accepting the key.
    revocation_s: float | None = None
    #: The window of client accounts' quotas, and how far they may be exceeded.
    quota_terms: QuotaTerms = field(default_factory=QuotaTerms)
    #: Whether the capacity of services that are short of it is shared fairly by client accounts.
    shares_capacity: bool = False
    #: Whether services are watched for overload where requests of several priorities compete.
    controls_overload: bool = True


@dataclass(frozen=True, slots=True)
class InvalidDocument:
    """An entry of the store or a settings file that is invalid."""

    #: The path of the entry or file.
    path: str
    #: Descriptions of all errors that were found.
    faults: Sequence[str]

    def __str__(self) -> str:
        return f"{self.path} is invalid: {'; '.join(self.faults)}"


def unforeseen(path: str, error: Exception) -> InvalidDocument:
    """Describe a document at which decoding failed where no check had refused it."""
    return InvalidDocument(path, [f"unforeseen: {describe_error(error)}"])


def is_text(name: str) -> bool:
    """Return whether a name can be encoded: one from the store may hold lone surrogates."""
    return name.encode(errors="ignore").decode() == name


class StoreLayout(abc.ABC):
    """The paths of the store's entries that gateways read, and how they are decoded."""

    #: The path of the configuration.
    config_path: str
    #: The prefix of the upstreams' entries.
    upstreams_prefix: str
    #: The prefix of the entries of gateway instances.
    instances_prefix: str

    @abc.abstractmethod
    def decode_config_in_slices(
        self, value: bytes
    ) -> Generator[None, None, Result[FleetConfig, InvalidDocument]]:
        """Decode the configuration in slices; other tasks may run at each ``yield``.

        Decoding 4,000 routes without a break blocks a slow instance for some tenths of a second.
        """

    def decode_config(self, value: bytes) -> Result[FleetConfig, InvalidDocument]:
        """Decode the configuration without a break."""
        return run_to_completion(self.decode_config_in_slices(value))

    @abc.abstractmethod
    def decode_upstream(self, entry: Entry) -> Result[UpstreamRecord, InvalidDocument]:
        """Decode an upstream's entry."""

    def decode_or_refuse_upstream(self, entry: Entry) -> Result[UpstreamRecord, InvalidDocument]:
        """Decode an upstream's entry; an error in decoding it costs only the entry."""
        try:
            decoded = self.decode_upstream(entry)
            if isinstance(decoded, Ok):
                # Peers name it by this key, which not every text has.
                upstream_key(decoded.ok_value.id)
        except Exception as error:
            return Err(unforeseen(entry.path, error))
        return decoded


class ResponseKind(enum.Enum):
    """What an upstream's response says about the request."""

    #: A complete response for the client.
    SERVED = "served"
    #: The upstream states that it did not run the request.
    NOT_RUN = "not_run"
    #: Another upstream uses the address now; it did not run the request.
    WRONG_UPSTREAM = "wrong_upstream"
    #: The upstream ran the request and failed.
    FAILED = "failed"
    #: The request's deadline passed while the upstream ran it.
    EXPIRED = "expired"
    #: Not a valid response of an upstream; the request may have run.
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What the headers of a client's request say."""

    #: The id of the client's attempt; empty if absent.
    attempt_id: str
    #: The host; empty if absent.
    host: str
    #: How long the client waits from the request's arrival; None if absent or invalid.
    wait_s: float | None
    #: The API key; None if the request has none or more than one.
    api_key: bytes | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The load that an upstream reports in a response."""

    #: How many requests the upstream runs.
    running: int
    #: How many requests wait for a slot there.
    waiting: int


@dataclass(frozen=True, slots=True)
class InvalidLimit:
    """An advertised rate limit that is not a number of requests per second."""

    #: The header's value.
    value: str

    def __str__(self) -> str:
        return f"not a number of requests per second: {self.value!r}"


@dataclass(frozen=True, slots=True)
class InvalidNotice:
    """A header with which an upstream describes itself and whose value is not defined."""

    #: The header's name.
    header: str
    #: The header's value.
    value: str

    def __str__(self) -> str:
        return f"{self.header} has no defined meaning with the value {self.value!r}"


@dataclass(frozen=True, slots=True)
class UpstreamNotices:
    """What the head of a response says about its upstream, independent of the request."""

    #: Whether the upstream is draining.
    is_draining: bool = False
    #: How long the upstream wants no request from this instance; None if it does not say.
    backoff_s: float | None = None
    #: Headers that were ignored.
    invalid: Sequence[InvalidNotice] = ()


class RequestContract(abc.ABC):
    """The HTTP headers and statuses between clients, gateways and upstreams."""

    @abc.abstractmethod
    def request_metadata(self, request: Request) -> RequestMetadata:
        """Read the headers of a client's request."""

    @abc.abstractmethod
    def upstream_headers(
        self, request: Request, upstream_name: str, left_s: float, account: str | None = None
    ) -> list[tuple[bytes, bytes]]:
        """Return the header fields of a request as it is sent to an upstream.

        They contain the name of the request's client account, if any, and never an API key.
        """

    @abc.abstractmethod
    def response_owner(self, head: ReceivedResponse, attempt_id: str) -> ResponseOwner:
        """Return whether the head of a response belongs to a client's attempt."""

    @abc.abstractmethod
    def classify(self, response: ReceivedResponse) -> ResponseKind:
        """Classify an upstream's response."""

    @abc.abstractmethod
    def reported_load(self, response: ReceivedResponse) -> ReportedLoad | None:
        """Return the load that a response reports; None if it reports none."""

    @abc.abstractmethod
    def advertised_limit(self, response: ReceivedResponse) -> Result[float | None, InvalidLimit]:
        """Return the rate limit that a response advertises.

        The limit is the number of requests per second that the upstream accepts from all instances
        together. None means that no limit is advertised; an earlier one has then ended.
        """

    @abc.abstractmethod
    def notices(self, head: ReceivedResponse) -> UpstreamNotices:
        """Return what the head of a response says about the upstream that sent it."""

    @abc.abstractmethod
    def forwarded_response(self, received: ReceivedResponse) -> Response:
        """Return an upstream's response in the form for the client, with the same meaning."""

    @abc.abstractmethod
    def not_run_response(self, retry_after_s: float, *, close: bool = False) -> Response:
        """Return the response that promises that a request has not run and never will."""

    @abc.abstractmethod
    def over_quota_response(self, retry_after_s: float) -> Response:
        """Return the response to a request that exceeds its account's quota; it never runs."""

    @abc.abstractmethod
    def directory_response(self, addresses: Sequence[str], ttl_s: float) -> Response:
        """Return the response to a client's directory query, with instance addresses."""

    @abc.abstractmethod
    def is_readiness_check(self, request: Request) -> bool:
        """Return whether a request is a readiness probe."""

    @abc.abstractmethod
    def directory_zone(self, request: Request) -> str | None:
        """Return the client's zone of a directory query; None for other requests."""
