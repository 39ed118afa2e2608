"""Exception hierarchy; each message names the remedy."""


class BerylturnError(Exception):
    """Base class of all errors that berylturn raises."""


class SettingsError(BerylturnError):
    """A settings file, a setting in it, or an option is unusable."""


class SelectorError(BerylturnError):
    """A selector or a label is invalid."""


class PacketError(BerylturnError):
    """A datagram cannot be decoded or is too large."""


class AuthenticationError(BerylturnError):
    """A token or a frame has no valid authentication code."""


class PlatformError(BerylturnError):
    """Base class of errors of the platform's object API."""


class PlatformUnavailable(PlatformError):
    """The platform or a peer gave no usable response in time."""


class WatchExpired(PlatformError):
    """The platform no longer keeps the changes since a revision."""


class VersionConflict(PlatformError):
    """A conditional write found a version other than the expected one."""


class ChangeUnknown(VersionConflict):
    """A write may have taken effect before another write replaced it."""


class ObjectNotFound(PlatformError):
    """The platform has no object of that name."""


class CallerError(BerylturnError):
    """Base class of errors that the caller library raises."""


class FlowRefused(CallerError):
    """No backend server admitted a new flow in time."""


class FlowEnded(CallerError):
    """The flow that an operation needs has ended."""


class NotRun(CallerError):
    """A request certainly did not run; it may be sent again.

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
    """A request may have run; check before sending it again."""


class ConnectError(BerylturnError):
    """The connection to the backend server failed before any write."""


class ShedError(BerylturnError):
    """The backend server reported that it did not run a request."""


class ConnectionBroken(BerylturnError):
    """A connection failed after bytes of a request were written."""
