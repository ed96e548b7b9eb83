"""Exceptions with a stable code, the step that failed and the peer involved."""

from typing import ClassVar

from dotterelpier.model.evidence import LoadReport
from dotterelpier.model.instance import NO_NOTICE, InstanceNotice, LoadFigures


class DotterelpierError(Exception):
    """Base class of all errors raised by this package.

    Parameters
    ----------
    message : str
        What went wrong, in words for a person.
    step : str
        Name of the step that failed, such as ``"admission"``.
    peer : str, default=""
        Address or id of the remote side, empty if none was involved.
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
    """A bug in this program; whether the request ran is not known."""

    code = "internal"


class UsageError(DotterelpierError):
    """An argument of the command line is invalid."""

    code = "usage"


class SettingsError(DotterelpierError):
    """The settings file is missing or malformed, or a value cannot be used."""

    code = "settings_invalid"


class ManifestError(DotterelpierError):
    """The manifest is invalid; ``faults`` lists every fault with its key.

    Parameters
    ----------
    faults : tuple of str
        One line per fault, each starting with the path of the key.
    step : str
        Name of the step that failed.
    peer : str, default=""
        File or address that the manifest was read from.
    """

    code = "manifest_invalid"

    def __init__(self, faults: tuple[str, ...], *, step: str, peer: str = "") -> None:
        super().__init__("; ".join(faults), step=step, peer=peer)
        self.faults = faults


class ConfigError(ManifestError):
    """The configuration in the store is invalid; ``faults`` lists the keys."""

    code = "config_invalid"


class ServiceNotRegisteredError(DotterelpierError):
    """No service is registered with the kernel under the requested name."""

    code = "service_not_registered"


class TaskPoolFullError(DotterelpierError):
    """All threads for this kind of task are in use."""

    code = "task_pool_full"


class PlatformError(DotterelpierError):
    """Base class of errors of requests to the platform."""

    code = "platform"


class PlatformUnavailableError(PlatformError):
    """The platform did not answer; a write may or may not have been applied."""

    code = "platform_unavailable"


class HistoryLostError(PlatformError):
    """The store has discarded the changes since the requested version."""

    code = "history_lost"


class ConflictError(PlatformError):
    """A precondition of a transaction failed, and nothing was written."""

    code = "conflict"


class PeerUnavailableError(DotterelpierError):
    """A peer entry did not answer in time."""

    code = "peer_unavailable"


class CallError(DotterelpierError):
    """Base class of errors that end a call; ``ran`` is True if it may have run.

    ``notice`` is what a backend server asked for beside an answer that is an error.
    """

    code = "call"
    notice: InstanceNotice = NO_NOTICE
    ran: ClassVar[bool] = False


class UnknownServiceError(CallError):
    """The manifest declares no service of this name."""

    code = "unknown_service"


class InvalidCallError(CallError):
    """The caller's request is malformed."""

    code = "invalid_call"


class NoManifestError(CallError):
    """The entry has not received a manifest yet."""

    code = "no_manifest"


class NoRouteError(CallError):
    """No route matches the host and path of the request."""

    code = "no_route"


class RouteFaultyError(CallError):
    """The route of the request is declared in a way that is not understood."""

    code = "route_faulty"


class UnknownKeyError(CallError):
    """The request needs the key of an account, and has none that is known."""

    code = "unknown_key"


class OverCapError(CallError):
    """The account of the request has used up its cap.

    ``retry_after_s`` is the time after which a retry is expected to find room, in
    seconds.
    """

    code = "over_cap"
    retry_after_s: float = 0.0


class ConfigurationStaleError(CallError):
    """The configuration may be outdated, so keys that it knows may be withdrawn."""

    code = "configuration_stale"


class ClientLeftError(CallError):
    """The client closed its connection before its answer was ready."""

    code = "client_left"
    ran = True


class AnswerAbandonedError(CallError):
    """The answer was not received whole, through no fault of the backend server.

    Its client is gone, or the entry has no memory for it.
    """

    code = "answer_abandoned"
    ran = True


class CutOffError(CallError):
    """The entry reaches neither the platform nor a majority of its peers."""

    code = "cut_off"


class StoppingError(CallError):
    """The entry is stopping and accepts no new calls."""

    code = "stopping"


class OverloadedError(CallError):
    """No slot came free before the deadline, or the queue was full.

    ``retry_after_s`` is the time after which a retry is expected to find room, in
    seconds; None if it is not known.
    """

    code = "overloaded"
    retry_after_s: float | None = None


class RefusedError(CallError):
    """The backend server reported that it did not run the request.

    ``report`` or ``load`` is the load that came with the refusal, if any.
    ``misdirected`` is True if another backend server now uses the address.
    """

    code = "refused"
    report: LoadReport | None = None
    load: LoadFigures | None = None
    misdirected: bool = False


class ConnectFailedError(CallError):
    """No connection could be opened, so nothing was sent."""

    code = "connect_failed"


class AnswerLostError(CallError):
    """The request was sent, but no complete answer arrived."""

    code = "answer_lost"
    ran = True


class AnswerTimeoutError(CallError):
    """The request was sent, but no answer arrived before the deadline."""

    code = "answer_timeout"
    ran = True


class AnswerMismatchError(CallError):
    """The answer belongs to another attempt and was discarded."""

    code = "answer_mismatch"
    ran = True


class KeyReusedError(CallError):
    """An idempotency key was reused with a different request."""

    code = "key_reused"


class DuplicateCallError(CallError):
    """An earlier call with this idempotency key was sent; its outcome is unknown."""

    code = "duplicate_call"
    ran = True


class ClaimUnavailableError(CallError):
    """The idempotency key could not be claimed, so nothing was sent."""

    code = "claim_unavailable"
