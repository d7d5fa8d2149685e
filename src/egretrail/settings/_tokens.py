"""Operators' tokens: who may read settings, and which team's subtree each may write."""

import hashlib
import hmac
import tomllib
from collections.abc import Mapping

from result import Err, Ok, Result

from egretrail.identity import TeamName
from egretrail.settings._errors import InvalidSettings, SettingsFault
from egretrail.settings._fleet import is_name

#: Shorter tokens could be guessed.
_TOKEN_LIMIT_BYTES = 16
_SCHEME = "bearer"


class OperatorTokens:
    """Tokens by team. Only digests are kept, so that no token reaches a log or a core file."""

    def __init__(self, digests: Mapping[TeamName, bytes]) -> None:
        self._digests = digests

    def __repr__(self) -> str:
        return f"OperatorTokens({sorted(self._digests)})"

    def team_of(self, authorization: str | None) -> TeamName | None:
        """Return the team whose token an Authorization header carries; None when none does."""
        scheme, _, token = (authorization or "").partition(" ")
        digest = _digest(token.strip())
        found = None
        # Every digest is compared, whichever matches, so that the time taken tells nothing.
        for team, held in self._digests.items():
            if hmac.compare_digest(held, digest):
                found = team
        return found if scheme.lower() == _SCHEME else None


def parse_operator_tokens(text: str, source: str) -> Result[OperatorTokens, InvalidSettings]:
    """Read ``TEAM = "TOKEN"`` lines; faults name teams and never show a token."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        # The library's message may quote the line, and with it a token.
        return Err(InvalidSettings(source, [SettingsFault("", "not TOML")]))
    faults = []
    digests: dict[TeamName, bytes] = {}
    for team, token in document.items():
        if not is_name(team):
            faults.append(SettingsFault(team, "a team's name has a-z, 0-9 and -"))
        elif not isinstance(token, str) or len(token.encode()) < _TOKEN_LIMIT_BYTES:
            faults.append(SettingsFault(team, f"a token has {_TOKEN_LIMIT_BYTES} bytes or more"))
        else:
            digests[TeamName(team)] = _digest(token)
    if len(set(digests.values())) != len(digests):
        faults.append(SettingsFault("", "two teams have the same token"))
    return Err(InvalidSettings(source, faults)) if faults else Ok(OperatorTokens(digests))


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()
