"""The bounds of what others write to the store: every field of an upstream and a configuration."""

from egretrail.platform._field_kinds import (
    Address,
    Choice,
    Duration,
    Flag,
    HeaderText,
    HexInteger,
    Integer,
    Number,
    PathPrefix,
    RequestPath,
    Rows,
    Text,
)
from egretrail.traffic import RouteKind, UpstreamState

UPSTREAMS_PREFIX = "servers/"
#: The store's limit for keys.
KEY_BYTES_MAX = 200
#: Names are sent in datagrams of some hundred bytes, and stand in log lines and metrics.
_NAME_BYTES_MAX = 200
#: The length of a request's target that every server should accept (RFC 9112, section 3).
_PATH_BYTES_MAX = 8_000
#: The length of a DNS name.
_HOST_BYTES_MAX = 253
_SHORT_MAX, _WORD_MAX = 2**16 - 1, 2**32 - 1
#: Up to here a float holds every integer, and sums and products of a few numbers are finite.
_NUMBER_MAX = 2.0**53
#: The latest start that messages between instances can state, in the year 2248.
_TIME_MAX_MS = 2**43 - 1
#: The number of milliseconds that 32 bits hold, about 50 days.
_DURATION_MAX_S = _WORD_MAX // 1000
#: In less time, no client at a distance sends a head or its next request.
_CLIENT_TIME_MIN_S = 0.05

#: An entry has some hundred bytes; unknown fields may add to them. A list of
#: thousands fits into the memory of a gateway.
UPSTREAM_BYTES_MAX = 8 * 1024
#: Four times the largest value that stores usually take: in memory, a document of small lists is
#: twenty times as large.
CONFIG_BYTES_MAX = 4 * 1024 * 1024

#: The id is sent as a header field.
UPSTREAM_ID = HeaderText(KEY_BYTES_MAX - len(UPSTREAMS_PREFIX))
NAME = Text(_NAME_BYTES_MAX)
UPSTREAM_ADDRESS = Address()
#: Not used; an entry without it was not written by an upstream.
SOFTWARE_VERSION = Text(_PATH_BYTES_MAX)
#: As above.
SEQUENCE = Integer(-(2**63), 2**63 - 1)
#: Each slot needs a connection, and an address takes this many from one sender.
SLOTS = Integer(1, _SHORT_MAX)
UPSTREAM_STATE = Choice(
    {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}, UpstreamState.DRAINING
)
WARMUP_LEFT = Duration(0.0, _DURATION_MAX_S)
#: Unix time in milliseconds.
START_TIME_MS = Integer(0, _TIME_MAX_MS)
#: How far an upstream's wall clock may be ahead of the reader's. Clocks differ by seconds; an
#: upstream that is refused gets no work.
CLOCKS_APART_MAX_S = 24 * 60 * 60
#: The start of 2024 in Unix time. A clock that shows an earlier time was not set since the boot.
CLOCK_SET_S = 1_704_067_200

#: Eight digits; 0 is older than any that is in force.
CONFIG_VERSION = HexInteger(max_digits=8)
ROWS = Rows(_SHORT_MAX)

HEALTH_PATH = RequestPath(_PATH_BYTES_MAX)
CONNECTIONS = Integer(1, _WORD_MAX)

HOST = Text(_HOST_BYTES_MAX)
PREFIX = PathPrefix(_PATH_BYTES_MAX)
ROUTE_KIND = Choice(
    # Large responses; the request may be retried like one with a small response.
    {"safe": RouteKind.IDEMPOTENT, "download": RouteKind.IDEMPOTENT},
    empty=RouteKind.AT_MOST_ONCE,
    # Requests of any other kind must not be retried.
    other=RouteKind.AT_MOST_ONCE,
)
#: Without time, no request gets a response.
ROUTE_TIME = Duration(0.001, _DURATION_MAX_S)
#: Reports have one byte for it.
PRIORITY = Integer(0, 2**8 - 1)
#: More attempts than upstreams change nothing.
MAX_ATTEMPTS = Integer(0, _WORD_MAX)
#: Each request draws from all parts of its route.
PARTS = Rows(64)
WEIGHT = Number(0.0, _NUMBER_MAX)
FLAG = Flag()

#: The smallest head of a client has about 150 bytes; a head is held in memory as a whole.
HEADER_BYTES = Integer(256, 1024 * 1024)
BODY_BYTES = Integer(0, 2**53)
HEADER_TIMEOUT = Duration(_CLIENT_TIME_MIN_S, _DURATION_MAX_S)
IDLE_TIMEOUT = Duration(_CLIENT_TIME_MIN_S, _DURATION_MAX_S)

#: Sent as a header field.
ACCOUNT_NAME = HeaderText(_NAME_BYTES_MAX)
API_KEYS = Rows(4_096)
API_KEY = HeaderText(_PATH_BYTES_MAX)
RATE_PER_S = Number(0.0, _NUMBER_MAX)
BURST = Number(0.0, _NUMBER_MAX)
