"""The settings that operators keep under paths in the store, a subtree for each team.

``TEAM/services/NAME`` holds a service, ``TEAM/routes/NAME`` a route to one, each as a TOML text.
"""

import enum
import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Annotated, ClassVar

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from result import Err, Ok, Result

from egretrail.identity import RouteName, ServiceName, TeamName
from egretrail.settings._errors import InvalidSettings, SettingsFault, faults_of

_STRICT = ConfigDict(extra="forbid")
_NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
_Name = Annotated[str, Field(pattern=_NAME_PATTERN)]
_Method = Annotated[str, Field(pattern=r"^[A-Z][A-Z-]{0,31}$")]


class Detection(enum.Enum):
    """Sensitivity with which a service's failing upstreams are ejected."""

    #: Short detection time: slow responses cost more than a false ejection.
    PROMPT = "prompt"
    #: Few false ejections: lost capacity costs more than slow detection.
    PATIENT = "patient"


class SettingKind(enum.Enum):
    """Kind of the object at a path."""

    SERVICE = "services"
    ROUTE = "routes"


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """One service: a set of interchangeable upstreams."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    #: Minimum number of healthy upstreams; ejections below it are not allowed.
    floor: Annotated[
        int, Field(ge=0, le=100_000, description="Fewest healthy upstreams ejections may leave.")
    ]
    #: Concurrent requests of one upstream.
    slots: Annotated[
        int, Field(ge=1, le=10_000, description="Requests one upstream works on at once.")
    ] = 4
    #: Connections that one upstream accepts at once.
    connections: Annotated[
        int, Field(ge=1, le=100_000, description="Connections one upstream accepts.")
    ] = 400
    #: Sensitivity of ejections.
    detection: Annotated[
        Detection, Field(description="`prompt` ejects sooner, `patient` more surely.")
    ] = Detection.PATIENT
    #: Number of instances that serve the service; 0: chosen automatically.
    group_size: Annotated[
        int, Field(ge=0, le=64, description="Instances that serve the service; 0: chosen.")
    ] = 0
    #: Number of upstreams that may be lost while serving one request, over all its retries.
    upstreams_per_request: Annotated[
        int, Field(ge=1, le=16, description="Upstreams one request may be lost with.")
    ] = 2
    #: Retries as a share of first attempts.
    retry_budget: Annotated[
        float, Field(ge=0, le=1, description="Retries as a share of first tries.")
    ] = 0.1
    #: A response header in which upstreams repeat ``X-Request-Id``; empty: not checked.
    echo_header: Annotated[
        str,
        Field(
            pattern=r"^[A-Za-z0-9-]*$",
            description="Answer header that repeats `X-Request-Id`; a mismatch is discarded.",
        ),
    ] = ""
    #: Warm-up period in which a new upstream gets less than its share of requests.
    ramp_s: Annotated[
        float, Field(ge=0, le=3600, description="How long a new upstream gets less work.")
    ] = 10.0
    #: Share of requests that must get a good response.
    objective: Annotated[
        float, Field(gt=0, lt=1, description="Share of requests to be answered well.")
    ] = 0.999
    #: Longest latency of a good response.
    objective_latency_s: Annotated[
        float, Field(gt=0, le=3600, description="A good answer takes no longer.")
    ] = 1.0


@dataclass(frozen=True, slots=True)
class RouteSettings:
    """One route: matches requests to a service and sets how they are handled."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    #: The service that the requests go to: a name within the same team.
    service: Annotated[
        ServiceName, Field(pattern=_NAME_PATTERN, description="A service of the same team.")
    ]
    #: Path prefix of the requests, matched by whole segments.
    path_prefix: Annotated[
        str, Field(pattern=r"^/[^?#]*$", max_length=512, description="Prefix, whole segments.")
    ]
    #: Host of the requests; empty: any.
    host: Annotated[str, Field(max_length=253, description="Host of the requests; empty: any.")] = (
        ""
    )
    #: Methods whose requests are idempotent.
    idempotent_methods: Annotated[
        Sequence[_Method], Field(description="Methods whose requests are idempotent.")
    ] = ("GET", "HEAD", "OPTIONS")
    #: Deadline of a request whose client states none.
    deadline_s: Annotated[
        float, Field(gt=0, le=3600, description="Deadline when the caller gives none.")
    ] = 10.0
    #: Longest time that a request waits for an upstream.
    queue_s: Annotated[
        float, Field(ge=0, le=3600, description="How long a request may wait for an upstream.")
    ] = 2.0
    #: Whether a slow request may be sent to a second upstream (hedged request).
    hedge: Annotated[
        bool, Field(description="Whether slow idempotent requests are sent a second time.")
    ] = False

    def __post_init__(self) -> None:
        """Reject contradictory values."""
        if self.queue_s > self.deadline_s:
            raise ValueError(f"queue_s ({self.queue_s}) exceeds deadline_s ({self.deadline_s})")


@dataclass(frozen=True, slots=True)
class SettingPath:
    """A parsed path in the store."""

    #: The team whose subtree the path is in.
    team: TeamName
    #: Kind of the object at the path.
    kind: SettingKind
    #: The service's or route's name.
    name: str

    def __str__(self) -> str:
        return f"{self.team}/{self.kind.value}/{self.name}"

    @property
    def qualified_name(self) -> str:
        """Return ``TEAM/NAME``, the unique name of the service or route in the fleet."""
        return f"{self.team}/{self.name}"

    @staticmethod
    def parse(path: str) -> "Result[SettingPath, InvalidSettings]":
        """Parse ``TEAM/services/NAME`` or ``TEAM/routes/NAME``."""
        parts = path.split("/")
        kinds = {kind.value: kind for kind in SettingKind}
        if len(parts) == 3 and parts[1] in kinds and is_name(parts[0]) and is_name(parts[2]):
            return Ok(SettingPath(TeamName(parts[0]), kinds[parts[1]], parts[2]))
        reason = "a path is TEAM/services/NAME or TEAM/routes/NAME, names in a-z, 0-9 and -"
        return Err(InvalidSettings(path, [SettingsFault("", reason)]))


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The settings in force on an instance. Names are qualified: ``TEAM/NAME``."""

    #: Services by qualified name.
    services: Mapping[ServiceName, ServiceSettings]
    #: Routes by qualified name; each names a service of its own team, unqualified.
    routes: Mapping[RouteName, RouteSettings]


_SERVICE = TypeAdapter(ServiceSettings)
_ROUTE = TypeAdapter(RouteSettings)
_NAME = TypeAdapter(_Name)


def is_name(text: str) -> bool:
    """Return whether a text is a valid name of a team, a service or a route."""
    try:
        _NAME.validate_python(text)
    except ValidationError:
        return False
    return True


def parse_setting(
    path: SettingPath, text: str
) -> Result[ServiceSettings | RouteSettings, InvalidSettings]:
    """Parse the TOML text of one path; a failure lists every fault."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err(InvalidSettings(str(path), [SettingsFault("", f"not TOML: {error}")]))
    adapter: TypeAdapter[ServiceSettings] | TypeAdapter[RouteSettings]
    adapter = _SERVICE if path.kind is SettingKind.SERVICE else _ROUTE
    try:
        return Ok(adapter.validate_python(document))
    except ValidationError as error:
        return Err(InvalidSettings(str(path), faults_of(error)))
