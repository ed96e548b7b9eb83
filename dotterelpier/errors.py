"""Exceptions with codes, each carrying the step and the peer at which it arose."""

from typing import ClassVar

from dotterelpier.model.evidence import LoadReport
from dotterelpier.model.instance import LoadFigures


class DotterelpierError(Exception):
    """Base class of all errors raised by this package.

    Parameters
    ----------
    message : str
        What went wrong, for a person.
    step : str
        Name of the step at which the error arose, such as ``"admission"``.
    peer : str, default=""
        Address or id of the other side, empty if none was involved.
    """

    code: ClassVar[str] = "internal"

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f"{self.step} at {self.peer}" if self.peer else self.step
        return f"{self.code}: {self.message} ({where})"


class InternalError(DotterelpierError):
    """A fault of this program; whether the request ran is not known."""

    code = "internal"


class UsageError(DotterelpierError):
    """An argument of the command line is not valid."""

    code = "usage"


class SettingsError(DotterelpierError):
    """The settings file is malformed or a value is out of its limits."""

    code = "settings_invalid"


class ManifestError(DotterelpierError):
    """The manifest is malformed; ``faults`` names every fault at its key.

    Parameters
    ----------
    faults : tuple of str
        One line per fault, each starting with the path of the key.
    step : str
        Name of the step at which the error arose.
    peer : str, default=""
        File or address from which the manifest came.
    """

    code = "manifest_invalid"

    def __init__(self, faults: tuple[str, ...], *, step: str, peer: str = "") -> None:
        super().__init__("; ".join(faults), step=step, peer=peer)
        self.faults = faults


class ConfigError(ManifestError):
    """The configuration in the store cannot be read; ``faults`` names its keys."""

    code = "config_invalid"


class ServiceNotRegisteredError(DotterelpierError):
    """A kernel service was looked up by a name that nobody registered."""

    code = "service_not_registered"


class TaskPoolFullError(DotterelpierError):
    """The executor of this kind of task has no free thread."""

    code = "task_pool_full"


class PlatformError(DotterelpierError):
    """Base class of the platform's failures."""

    code = "platform"


class PlatformUnavailableError(PlatformError):
    """The platform did not answer; a write may or may not have taken effect."""

    code = "platform_unavailable"


class HistoryLostError(PlatformError):
    """The store no longer knows the changes since the version asked for."""

    code = "history_lost"


class ConflictError(PlatformError):
    """A precondition of a transaction did not hold, and nothing was written."""

    code = "conflict"


class PeerUnavailableError(DotterelpierError):
    """A peer entry did not answer in time."""

    code = "peer_unavailable"


class CallError(DotterelpierError):
    """Base class of errors that end a call; ``ran`` tells whether it may have run."""

    code = "call"
    ran: ClassVar[bool] = False


class UnknownServiceError(CallError):
    """The manifest declares no service of this name."""

    code = "unknown_service"


class InvalidCallError(CallError):
    """The request of the caller is malformed."""

    code = "invalid_call"


class NoManifestError(CallError):
    """No manifest is known yet."""

    code = "no_manifest"


class NoRouteError(CallError):
    """No route matches the host and path of the request."""

    code = "no_route"


class ClientLeftError(CallError):
    """The client closed its connection before its answer was ready."""

    code = "client_left"
    ran = True


class CutOffError(CallError):
    """The entry reaches neither the platform nor a majority of its peers."""

    code = "cut_off"


class StoppingError(CallError):
    """The entry is stopping and takes no new work."""

    code = "stopping"


class OverloadedError(CallError):
    """No slot came free before the deadline, or the queue was full."""

    code = "overloaded"


class RefusedError(CallError):
    """The backend server said that it did not run the request.

    ``report`` or ``load`` is the load that came with the refusal, if any, and
    ``misdirected`` tells that another backend server has the address.
    """

    code = "refused"
    report: LoadReport | None = None
    load: LoadFigures | None = None
    misdirected: bool = False


class ConnectFailedError(CallError):
    """No connection could be opened, so nothing was sent."""

    code = "connect_failed"


class AnswerLostError(CallError):
    """The request was sent, but no whole answer came back."""

    code = "answer_lost"
    ran = True


class AnswerTimeoutError(CallError):
    """The request was sent, but its answer did not come before the deadline."""

    code = "answer_timeout"
    ran = True


class AnswerMismatchError(CallError):
    """The answer belongs to another attempt, so it was dropped."""

    code = "answer_mismatch"
    ran = True


class KeyReusedError(CallError):
    """An idempotency key came again with another request."""

    code = "key_reused"


class DuplicateCallError(CallError):
    """An earlier call with this key was sent; its outcome is not known."""

    code = "duplicate_call"
    ran = True


class ClaimUnavailableError(CallError):
    """The idempotency key could not be claimed, so nothing was sent."""

    code = "claim_unavailable"
