"""The settings of one instance, read from its TOML file at start-up.

Each class is a data class whose annotations carry the range of every value; ``TypeAdapter``
validates the file against them. ``Field(description=...)`` is the text of ``docs/settings.md``.
"""

import tomllib
from dataclasses import dataclass, field
from typing import Annotated, ClassVar

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from result import Err, Ok, Result

from egretrail.identity import AvailabilityZone, InstanceName
from egretrail.settings._errors import InvalidSettings, SettingsFault, faults_of

_STRICT = ConfigDict(extra="forbid")

_NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
_Host = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:]+$", description="An IP number.")]
_Port = Annotated[
    int, Field(ge=0, le=65535, description="A TCP port; 0 lets the system choose one.")
]


@dataclass(frozen=True, slots=True)
class InstanceSection:
    """Identity of this instance."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    #: The instance's name, unique in the fleet.
    name: Annotated[InstanceName, Field(pattern=_NAME_PATTERN, description="Unique in the fleet.")]
    #: The availability zone it runs in.
    availability_zone: Annotated[
        AvailabilityZone,
        Field(pattern=_NAME_PATTERN, description="The availability zone it runs in."),
    ]
    #: The region of the availability zone.
    region: Annotated[
        str, Field(pattern=_NAME_PATTERN, description="The region of the availability zone.")
    ] = "default"


@dataclass(frozen=True, slots=True)
class ListenSection:
    """Listening address of one face: the callers', the peers' or the operators' interface."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    #: The address to listen on and to advertise to others.
    host: _Host
    #: The port to listen on.
    port: _Port


@dataclass(frozen=True, slots=True)
class PlatformSection:
    """Addresses of the platform's store and instance list."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    #: Base URL of the key-value store.
    store_url: Annotated[str, Field(pattern=r"^https?://", description="Base URL of the store.")]
    #: URL of the instance list.
    instance_list_url: Annotated[
        str, Field(pattern=r"^https?://", description="URL of the instance list.")
    ]
    #: Timeout of one call.
    timeout_s: Annotated[
        float, Field(gt=0, le=60, description="How long one call to the platform may take.")
    ] = 2.0
    #: Interval between reads of the instance list.
    list_interval_s: Annotated[
        float, Field(ge=0.1, le=300, description="How often the instance list is read.")
    ] = 2.0


@dataclass(frozen=True, slots=True)
class CallersSection:
    """TTL of resolve responses, and the header that identifies a client."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    #: TTL of a resolve response at a client.
    resolve_ttl_s: Annotated[
        float, Field(ge=1, le=3600, description="How long a caller may keep a resolve answer.")
    ] = 10.0
    #: The request header whose digest identifies the client.
    identity_header: Annotated[
        str,
        Field(
            pattern=r"^[A-Za-z0-9-]+$",
            description="The request header whose digest identifies a caller.",
        ),
    ] = "Authorization"


@dataclass(frozen=True, slots=True)
class LimitsSection:
    """Limits on the sizes and the number of requests of one instance."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    #: Largest request body that is accepted.
    request_body_size_bytes: Annotated[
        int, Field(ge=0, le=1 << 26, description="Largest request body; above it 413.")
    ] = (1 << 20)
    #: Largest response body that is forwarded.
    answer_body_size_bytes: Annotated[
        int, Field(ge=0, le=1 << 26, description="Largest answer body; above it 502.")
    ] = (4 << 20)
    #: Memory for the responses kept for idempotency keys.
    kept_answers_size_bytes: Annotated[
        int, Field(ge=1 << 16, description="Memory for answers kept for idempotency keys.")
    ] = (16 << 20)
    #: Largest number of concurrent client requests.
    requests_in_flight: Annotated[
        int, Field(ge=1, le=1_000_000, description="Requests held at once; above it 503.")
    ] = 2000


@dataclass(frozen=True, slots=True)
class StopSection:
    """Graceful stop of the instance."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    #: Time after which a stop lists and aborts the requests that are still in flight.
    deadline_s: Annotated[
        float,
        Field(gt=0, le=3600, description="When a stop cuts what is still in flight, listing it."),
    ] = 60.0


@dataclass(frozen=True, slots=True)
class LogSection:
    """Logging."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    #: Lowest level that is logged.
    level: Annotated[
        str, Field(pattern=r"^(debug|info|warning|error)$", description="Least severe level.")
    ] = "info"


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """All settings of one instance."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    instance: InstanceSection
    #: Where clients connect.
    caller_face: ListenSection
    #: Where other instances connect.
    peer_face: ListenSection
    #: Where operators connect.
    operator_face: ListenSection
    platform: PlatformSection
    #: File with the shared key by which the fleet's instances authenticate each other.
    fleet_key_file: Annotated[
        str, Field(min_length=1, description="File with the fleet's shared key, 16 bytes or more.")
    ]
    #: File with the operators' tokens, a line ``TEAM = "TOKEN"`` each; None: writes are refused.
    operator_tokens_file: Annotated[
        str | None, Field(description="TOML file with one token for each team.")
    ] = None
    callers: CallersSection = field(default_factory=CallersSection)
    limits: LimitsSection = field(default_factory=LimitsSection)
    stop: StopSection = field(default_factory=StopSection)
    log: LogSection = field(default_factory=LogSection)

    def __post_init__(self) -> None:
        """Reject contradictory values."""
        if self.stop.deadline_s <= self.callers.resolve_ttl_s:
            raise ValueError(
                f"stop.deadline_s ({self.stop.deadline_s}) must exceed callers.resolve_ttl_s "
                f"({self.callers.resolve_ttl_s}): callers keep connecting for that long"
            )
        ports = [self.caller_face.port, self.peer_face.port, self.operator_face.port]
        fixed = [port for port in ports if port]
        if len(set(fixed)) != len(fixed):
            raise ValueError("caller_face, peer_face and operator_face must have different ports")


_ADAPTER = TypeAdapter(InstanceSettings)


def parse_instance_settings(text: str, source: str) -> Result[InstanceSettings, InvalidSettings]:
    """Parse the settings of an instance; a failure lists every fault with its key."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err(InvalidSettings(source, [SettingsFault("", f"not TOML: {error}")]))
    try:
        return Ok(_ADAPTER.validate_python(document))
    except ValidationError as error:
        return Err(InvalidSettings(source, faults_of(error)))
