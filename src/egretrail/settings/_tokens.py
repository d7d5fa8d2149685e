"""Operators' tokens: a token permits reading settings and writing the subtree of its team."""

import hashlib
import hmac
import tomllib
from collections.abc import Mapping

from result import Err, Ok, Result

from egretrail.identity import TeamName
from egretrail.settings._errors import InvalidSettings, SettingsFault
from egretrail.settings._fleet import is_name

#: Minimum length of a token; shorter tokens could be guessed.
_MIN_TOKEN_BYTES = 16
_SCHEME = "bearer"


class OperatorTokens:
    """Tokens by team, kept as digests only, so that none can appear in a log or a core dump."""

    def __init__(self, digests: Mapping[TeamName, bytes]) -> None:
        self._digests = digests

    def __repr__(self) -> str:
        return f"OperatorTokens({sorted(self._digests)})"

    def team_of(self, authorization: str | None) -> TeamName | None:
        """Return the team whose token an Authorization header contains; None when there is none."""
        scheme, _, token = (authorization or "").partition(" ")
        digest = _digest(token.strip())
        found = None
        # All digests are compared, so that the time taken does not show which one matched.
        for team, held in self._digests.items():
            if hmac.compare_digest(held, digest):
                found = team
        return found if scheme.lower() == _SCHEME else None


def parse_operator_tokens(text: str, source: str) -> Result[OperatorTokens, InvalidSettings]:
    """Parse ``TEAM = "TOKEN"`` lines; faults name teams and never contain a token."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        # The error message of tomllib may quote the line, which contains a token.
        return Err(InvalidSettings(source, [SettingsFault("", "not TOML")]))
    faults = []
    digests: dict[TeamName, bytes] = {}
    for team, token in document.items():
        if not is_name(team):
            faults.append(SettingsFault(team, "a team's name has a-z, 0-9 and -"))
        elif not isinstance(token, str) or len(token.encode()) < _MIN_TOKEN_BYTES:
            faults.append(SettingsFault(team, f"a token has {_MIN_TOKEN_BYTES} bytes or more"))
        else:
            digests[TeamName(team)] = _digest(token)
    if len(set(digests.values())) != len(digests):
        faults.append(SettingsFault("", "two teams have the same token"))
    return Err(InvalidSettings(source, faults)) if faults else Ok(OperatorTokens(digests))


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()
