"""The settings of one instance, read from its TOML file at the start.

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
    """Who this instance is."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    #: The instance's name, unique in the fleet.
    name: Annotated[InstanceName, Field(pattern=_NAME_PATTERN, description="Unique in the fleet.")]
    #: The availability zone it runs in.
    availability_zone: Annotated[
        AvailabilityZone,
        Field(pattern=_NAME_PATTERN, description="The availability zone it runs in."),
    ]
    #: The region the availability zone belongs to.
    region: Annotated[
        str, Field(pattern=_NAME_PATTERN, description="The region of the availability zone.")
    ] = "default"


@dataclass(frozen=True, slots=True)
class ListenSection:
    """Where one face of the instance listens."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    #: The address to listen on and to tell others.
    host: _Host
    #: The port to listen on.
    port: _Port


@dataclass(frozen=True, slots=True)
class PlatformSection:
    """Where the platform's store and instance list are."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    #: Base URL of the key-value store.
    store_url: Annotated[str, Field(pattern=r"^https?://", description="Base URL of the store.")]
    #: URL of the instance list.
    instance_list_url: Annotated[
        str, Field(pattern=r"^https?://", description="URL of the instance list.")
    ]
    #: How long one call may take.
    timeout_s: Annotated[
        float, Field(gt=0, le=60, description="How long one call to the platform may take.")
    ] = 2.0
    #: How often a reader reads the instance list.
    list_interval_s: Annotated[
        float, Field(ge=0.1, le=300, description="How often the instance list is read.")
    ] = 2.0


@dataclass(frozen=True, slots=True)
class CallersSection:
    """What callers are told and how they are recognised."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    #: How long a caller keeps a resolve answer.
    resolve_ttl_s: Annotated[
        float, Field(ge=1, le=3600, description="How long a caller may keep a resolve answer.")
    ] = 10.0
    #: The header whose digest identifies the caller.
    identity_header: Annotated[
        str,
        Field(
            pattern=r"^[A-Za-z0-9-]+$",
            description="The request header whose digest identifies a caller.",
        ),
    ] = "Authorization"


@dataclass(frozen=True, slots=True)
class LimitsSection:
    """Sizes and counts that bound what one instance takes on."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    #: Largest request body taken.
    request_body_size_bytes: Annotated[
        int, Field(ge=0, le=1 << 26, description="Largest request body; above it 413.")
    ] = (1 << 20)
    #: Largest answer body passed on.
    answer_body_size_bytes: Annotated[
        int, Field(ge=0, le=1 << 26, description="Largest answer body; above it 502.")
    ] = (4 << 20)
    #: Memory for the answers kept for idempotency keys.
    kept_answers_size_bytes: Annotated[
        int, Field(ge=1 << 16, description="Memory for answers kept for idempotency keys.")
    ] = (16 << 20)
    #: Concurrent callers' requests held.
    requests_in_flight: Annotated[
        int, Field(ge=1, le=1_000_000, description="Requests held at once; above it 503.")
    ] = 2000


@dataclass(frozen=True, slots=True)
class StopSection:
    """How the instance stops."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    #: After this long a stop lists and cuts what is still in flight.
    deadline_s: Annotated[
        float,
        Field(gt=0, le=3600, description="When a stop cuts what is still in flight, listing it."),
    ] = 60.0


@dataclass(frozen=True, slots=True)
class LogSection:
    """What is logged."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    #: Least severe level that is logged.
    level: Annotated[
        str, Field(pattern=r"^(debug|info|warning|error)$", description="Least severe level.")
    ] = "info"


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Everything an instance is told at its start."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    instance: InstanceSection
    #: Where callers connect.
    caller_face: ListenSection
    #: Where other instances connect.
    peer_face: ListenSection
    #: Where operators connect.
    operator_face: ListenSection
    platform: PlatformSection
    #: File that holds the key the fleet's instances prove to each other.
    fleet_key_file: Annotated[
        str, Field(min_length=1, description="File with the fleet's shared key, 16 bytes or more.")
    ]
    #: File that holds the operators' tokens, one ``TEAM = "TOKEN"`` line each; none: no writes.
    operator_tokens_file: Annotated[
        str | None, Field(description="TOML file with one token for each team.")
    ] = None
    callers: CallersSection = field(default_factory=CallersSection)
    limits: LimitsSection = field(default_factory=LimitsSection)
    stop: StopSection = field(default_factory=StopSection)
    log: LogSection = field(default_factory=LogSection)

    def __post_init__(self) -> None:
        """Refuse values that contradict each other."""
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
    """Read an instance's settings; the failure lists every fault with its key."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err(InvalidSettings(source, [SettingsFault("", f"not TOML: {error}")]))
    try:
        return Ok(_ADAPTER.validate_python(document))
    except ValidationError as error:
        return Err(InvalidSettings(source, faults_of(error)))
