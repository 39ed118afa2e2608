"""Exception hierarchy; each message names the remedy."""


class BerylturnError(Exception):
    """Base class of all errors that berylturn raises."""


class SettingsError(BerylturnError):
    """Raise when a settings file or a key in it is unusable."""


class SelectorError(BerylturnError):
    """Raise when a selector or a label is invalid."""


class PacketError(BerylturnError):
    """Raise when a datagram cannot be decoded or is too large."""


class AuthenticationError(BerylturnError):
    """Raise when a token or a frame has no valid authentication code."""


class PlatformError(BerylturnError):
    """Base class of errors of the platform's object API."""


class PlatformUnavailable(PlatformError):
    """Raise when the platform does not answer in time."""


class WatchExpired(PlatformError):
    """Raise when the platform no longer keeps the changes since a revision."""


class VersionConflict(PlatformError):
    """Raise when a conditional write finds a version other than the expected one."""


class ChangeUnknown(VersionConflict):
    """Raise when a write may have taken effect before another write replaced it."""


class ObjectNotFound(PlatformError):
    """Raise when the platform holds no object of that name."""


class CallerError(BerylturnError):
    """Base class of errors that the caller library raises."""


class FlowRefused(CallerError):
    """Raise when no backend server admits a new flow in time."""


class FlowEnded(CallerError):
    """Raise when an operation uses a flow that has ended."""


class NotRun(CallerError):
    """Raise when a request certainly did not run; it may be sent again.

    Attributes
    ----------
    retry_after : float
        Recommended delay before a retry, in seconds.
    reason : int
        Value of `RefusalReason`, 0 when the request was never sent.
    """

    retry_after: float = 0.0
    reason: int = 0


class OutcomeUnknown(CallerError):
    """Raise when a request may have run; check before sending it again."""


class ConnectError(BerylturnError):
    """Raise when connecting to the backend server failed, before any write."""


class ShedError(BerylturnError):
    """Raise when the backend server reports that it did not run a request."""


class ConnectionBroken(BerylturnError):
    """Raise when a connection fails after bytes of a request were written."""
