"""Exception tree; each message names the remedy."""


class BerylturnError(Exception):
    """Base of every error that berylturn raises on purpose."""


class SettingsError(BerylturnError):
    """Raise when a settings file or a key in it is unusable."""


class SelectorError(BerylturnError):
    """Raise when a selector or a label is invalid."""


class PacketError(BerylturnError):
    """Raise when a datagram cannot be decoded or is too large."""


class AuthenticationError(BerylturnError):
    """Raise when a token or a frame carries no valid code."""


class PlatformError(BerylturnError):
    """Base of errors of the platform's object API."""


class PlatformUnavailable(PlatformError):
    """Raise when the platform does not answer in time."""


class WatchExpired(PlatformError):
    """Raise when the platform has forgotten the changes since a revision."""


class VersionConflict(PlatformError):
    """Raise when a conditional write finds another version."""


class ChangeUnknown(VersionConflict):
    """Raise when a write may have taken effect before another one replaced it."""


class ObjectNotFound(PlatformError):
    """Raise when the platform holds no object of that name."""


class CallerError(BerylturnError):
    """Base of errors that the caller library reports."""


class FlowRefused(CallerError):
    """Raise when no backend server admits a new flow in time."""


class FlowEnded(CallerError):
    """Raise when an operation uses a flow that has ended."""


class NotRun(CallerError):
    """Raise when a request certainly did not run; it may be sent again.

    Attributes
    ----------
    retry_after : float
        Advised pause in seconds.
    reason : int
        Value of `RefusalReason`, 0 when the request was never sent.
    """

    retry_after: float = 0.0
    reason: int = 0


class OutcomeUnknown(CallerError):
    """Raise when a request may have run; check before sending it again."""


class ConnectError(BerylturnError):
    """Raise when the backend server was not reached, so nothing was written."""


class ShedError(BerylturnError):
    """Raise when the backend server states that it did not run a request."""


class ConnectionBroken(BerylturnError):
    """Raise when a connection failed after bytes of a request were written."""
