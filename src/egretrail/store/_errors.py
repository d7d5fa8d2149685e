"""Failures of calls to the store and the instance list."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store did not respond, and the call was a read or certainly had no effect."""

    #: Description of the call, for the log.
    call: str
    #: The transport's description of the failure.
    cause: str

    def __str__(self) -> str:
        return f"the store is unavailable for {self.call}: {self.cause}"


@dataclass(frozen=True, slots=True)
class ReplyUnusable(StoreUnavailable):
    """The store responded with something that the call cannot use, such as too large a reply."""


@dataclass(frozen=True, slots=True)
class WriteUnknown:
    """The response to a write was lost: the write may or may not have taken effect."""

    #: The path that was written.
    path: str
    #: The transport's description of the failure.
    cause: str

    def __str__(self) -> str:
        return f"the write of {self.path} may or may not have taken effect: {self.cause}"


@dataclass(frozen=True, slots=True)
class RevisionConflict:
    """A compare-and-swap failed: the path is not at the revision that the writer expected."""

    #: The path that was written.
    path: str
    #: The revision that the writer expected; 0: the path does not exist.
    expected_revision: int
    #: The revision in the store; 0: the path does not exist.
    actual_revision: int

    def __str__(self) -> str:
        return (
            f"{self.path} is at revision {self.actual_revision}, not {self.expected_revision}: "
            "another change came first"
        )


@dataclass(frozen=True, slots=True)
class StoreRefused:
    """The store responded with a status that the call does not expect."""

    #: Description of the call, for the log.
    call: str
    #: The HTTP status of the response.
    status: int

    def __str__(self) -> str:
        return f"the store refused {self.call} with status {self.status}"


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer holds the changes after the revision that a watch starts from."""

    #: The prefix that was watched.
    prefix: str
    #: The revision after which changes were requested.
    after_revision: int
    #: Whether the store stated that it has not reached this revision.
    is_refuted: bool = False

    def __str__(self) -> str:
        return f"the store holds no changes of {self.prefix} after revision {self.after_revision}"


PlatformFailure = HistoryLost | StoreUnavailable | WriteUnknown | RevisionConflict | StoreRefused
