"""Protocols by which services use each other.

Services register with the kernel under the names in ``ServiceName`` and are found
there, typed by these protocols; no service imports the module of another.
"""

from collections.abc import Callable, Sequence
from concurrent.futures import Future
from enum import Enum
from typing import Any, Protocol, runtime_checkable

from dotterelpier.model.admission import Slot
from dotterelpier.model.audit import AuditEntry
from dotterelpier.model.call import Answer, Attempt, Call
from dotterelpier.model.directory import DirectoryAnswer
from dotterelpier.model.evidence import Observation, ProbeAnswer
from dotterelpier.model.manifest import BackendServer, Revision
from dotterelpier.model.membership import (
    Assignment,
    HandoverState,
    Heartbeat,
    HomeGrant,
    Member,
    PeerStatus,
    ServiceLoad,
    SlotOffer,
)
from dotterelpier.model.platform import Row, Vm, Write
from dotterelpier.model.status import EntryStatus


class ServiceName(str, Enum):
    """Names under which services register with the kernel."""

    CLOCK = "clock"
    TIMER = "timer"
    TASKS = "tasks"
    TABLE = "table"
    OBJECTS = "objects"
    VMS = "vms"
    METRICS = "metrics"
    AUDIT = "audit"
    MANIFEST = "manifest"
    MEMBERSHIP = "membership"
    PEERS = "peers"
    HOMES = "homes"
    EVIDENCE = "evidence"
    ADMISSION = "admission"
    ROUTING = "routing"
    PULLING = "pulling"
    BACKENDS = "backends"
    RELAYS = "relays"
    CLAIMS = "claims"
    CLAIM_SWEEPER = "claim_sweeper"
    CALLS = "calls"
    DIRECTORY = "directory"
    DRAIN = "drain"
    STATUS = "status"
    CALLER_FRONTEND = "caller_frontend"
    RELAY_FRONTEND = "relay_frontend"
    PEER_FRONTEND = "peer_frontend"
    OPERATOR_FRONTEND = "operator_frontend"


class TaskKind(str, Enum):
    """Kinds of tasks, each with an executor of its own."""

    TIMER = "timer"
    CONTROL = "control"
    PEER = "peer"
    OFFER = "offer"
    HANDOVER = "handover"
    MEASURE = "measure"
    BACKEND_CONNECTION = "backend_connection"
    RELAY_CONNECTION = "relay_connection"
    FRONTEND = "frontend"


class Clock(Protocol):
    """Source of time."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never steps."""
        ...

    def unix(self) -> float:
        """Return seconds since 1970, for people and other machines."""
        ...


class Subscription(Protocol):
    """Ticks of the timer."""

    def wait(self) -> bool:
        """Block until the next tick; return False once cancelled."""
        ...

    def wake(self) -> None:
        """Make the next ``wait`` return at once."""
        ...

    def cancel(self) -> None:
        """End the subscription; safe to repeat."""
        ...


class Cancellable(Protocol):
    """A callback that has not run yet."""

    def cancel(self) -> None:
        """Keep the callback from running; safe to repeat."""
        ...


class Timer(Protocol):
    """Timer service that other services subscribe to."""

    def every(self, interval_s: float) -> Subscription:
        """Subscribe to a tick each ``interval_s`` seconds, the first one at once."""
        ...

    def after(self, delay_s: float, callback: Callable[[], None]) -> Cancellable:
        """Run a short callback once, ``delay_s`` seconds from now."""
        ...


class Tasks(Protocol):
    """Executors for long-lived tasks, one for each kind."""

    def submit(
        self, kind: TaskKind, function: Callable[..., Any], *args: Any
    ) -> Future[Any]:
        """Run a function as a task.

        Raises
        ------
        TaskPoolFullError
            If every thread of this kind is taken.
        """
        ...


class Table(Protocol):
    """Transactional table of the platform.

    All methods raise ``PlatformUnavailableError`` if no answer came; after
    ``commit`` that leaves open whether the write took effect.
    """

    def read(self, key: str) -> Row | None:
        """Return a row, or None if there is none."""
        ...

    def read_if_changed(self, key: str, version: str) -> Row | None:
        """Return a row, or None if it still has this version or does not exist."""
        ...

    def scan(self, prefix: str) -> tuple[Row, ...]:
        """Return all rows whose keys start with a prefix, ordered by key."""
        ...

    def commit(self, writes: Sequence[Write]) -> tuple[str, ...]:
        """Write all rows or none; return their new versions.

        Raises
        ------
        ConflictError
            If a row does not have the version expected.
        """
        ...

    def last_reached_at(self) -> float:
        """Return when the platform last answered, on the monotonic clock."""
        ...


class Objects(Protocol):
    """Object store of the platform; raises ``PlatformUnavailableError``."""

    def get(self, name: str) -> bytes | None:
        """Return an object, or None if there is none."""
        ...

    def put(self, name: str, content: bytes) -> None:
        """Write an object."""
        ...


class Vms(Protocol):
    """The platform's lagging list of VMs; raises ``PlatformUnavailableError``."""

    def list(self) -> tuple[Vm, ...]:
        """Return live and leaving VMs."""
        ...


class Metrics(Protocol):
    """Counters, gauges and histograms with bounded label sets."""

    def count(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add to a counter."""
        ...

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        ...

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Add a value to a histogram."""
        ...

    def keep_label_values(self, label: str, values: frozenset[str]) -> None:
        """Allow only these values of a label and drop the series of others.

        What is counted under any other value is counted under ``"other"``.
        """
        ...

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        ...


class Audit(Protocol):
    """Audit trail of changes and events."""

    def entry_write(self, entry: AuditEntry) -> Write:
        """Return the write that adds an entry within another transaction."""
        ...

    def record(self, entry: AuditEntry) -> None:
        """Add an entry soon, in the background; dropped entries are counted."""
        ...


class ManifestKeeper(Protocol):
    """Keeps the highest manifest revision that this entry has seen."""

    def current(self) -> Revision | None:
        """Return the revision in force, or None before the first."""
        ...

    def subscribe(self, listener: Callable[[Revision], None]) -> None:
        """Call a listener with the current revision and with each later one."""
        ...


class Membership(Protocol):
    """Own lease, and the members with their liveness."""

    def me(self) -> Member:
        """Return the own lease row."""
        ...

    def lease_end(self) -> float:
        """Return when the own lease ends, on the monotonic clock."""
        ...

    def lease_start(self) -> float:
        """Return since when the own lease has been held without a gap."""
        ...

    def live_by_id(self) -> dict[str, Member]:
        """Return the members that renew their leases or were heard lately."""
        ...

    def leased_by_id(self) -> dict[str, Member]:
        """Return the members whose leases were seen renewed, this one included."""
        ...

    def known_by_id(self) -> dict[str, Member]:
        """Return all members with a lease row, this one included."""
        ...

    def peers(self) -> tuple[PeerStatus, ...]:
        """Return what is known of the other live members."""
        ...

    def lapsed(self, member_id: str, since: float) -> bool:
        """Tell whether a member's lease surely ended, or its row is gone.

        Only rows read after ``since``, on the monotonic clock, count.
        """
        ...

    def platform_reached(self) -> bool:
        """Tell whether the platform answered lately."""
        ...

    def may_take_work(self) -> bool:
        """Tell whether the manifest was lately confirmed as the highest."""
        ...

    def cold_sends_until(self) -> float:
        """Return until when nobody can take over homes without a lease.

        The value is on the monotonic clock, ``-inf`` if somebody can now.
        """
        ...

    def heard(self, heartbeat: Heartbeat) -> None:
        """Take in a heartbeat."""
        ...

    def subscribe(self, listener: Callable[[Member, Heartbeat], None]) -> None:
        """Call a listener with each heartbeat of a known member."""
        ...

    def report_loads_from(self, source: Callable[[], dict[str, ServiceLoad]]) -> None:
        """Put the loads that ``source`` returns into heartbeats."""
        ...

    def acknowledge(self, *, revision: int = 0, assignment: int = 0) -> None:
        """State numbers in force here, written with the next renewal.

        An assignment counts as in force once nothing is in flight from here at the
        backend servers that it took away.
        """
        ...

    def confirm_manifest(self, at: float) -> None:
        """State that the platform accepted no revision above the own before ``at``."""
        ...

    def set_leaving(self) -> None:
        """State that this entry is in a planned stop."""
        ...

    def heartbeat(self) -> Heartbeat:
        """Return the own heartbeat."""
        ...


class Homes(Protocol):
    """Homes of backend servers."""

    def is_home(self, backend_id: str) -> bool:
        """Tell whether this entry may send to a backend server now."""
        ...

    def send_deadline(self, backend_id: str, *, cold: bool) -> float | None:
        """Return the latest deadline of an attempt sent now, None to send nothing.

        The value is on the monotonic clock, ``inf`` if no lease limits it.
        """
        ...

    def assignment(self) -> Assignment:
        """Return the assignment in force on this entry."""
        ...

    def subscribe(self, listener: Callable[[str, HomeGrant | None], None]) -> None:
        """Call a listener with a backend server's id when its home changes.

        The second argument is what this entry may do as its home, or None if it
        no longer is.
        """
        ...

    def report_bearing_from(self, source: Callable[[str], HandoverState]) -> None:
        """Take what a backend server bears and has in flight from ``source``."""
        ...

    def hand_over(self, backend_id: str, assignment: int) -> HandoverState:
        """Stop sending to a backend server and return what is in flight."""
        ...


class ProbeGate(Protocol):
    """Decides whether a backend server bears a probe now."""

    def begin_probe(self, backend_id: str) -> bool:
        """Tell whether a probe may be sent; it must be ended if so."""
        ...

    def end_probe(self, backend_id: str) -> None:
        """State that the probe ended."""
        ...


class Evidence(Protocol):
    """What is known of the backend servers whose home this entry is."""

    def observe(self, observation: Observation) -> None:
        """Take in how an exchange ended."""
        ...

    def allows(self, backend_id: str) -> bool:
        """Tell whether fresh evidence speaks for sending new work."""
        ...

    def age_s(self, backend_id: str) -> float:
        """Return the age of the newest evidence in seconds."""
        ...

    def budget_spent(self, backend_id: str) -> float:
        """Return the share of the measuring budget spent since measuring began."""
        ...

    def refresh(self, service: str) -> None:
        """Ask for probes of the service's idle backend servers."""
        ...

    def subscribe(self, listener: Callable[[Observation], None]) -> None:
        """Call a listener with each observation."""
        ...

    def ask_before_probes(self, gate: ProbeGate) -> None:
        """Let a gate decide about each probe."""
        ...


class Admission(ProbeGate, Protocol):
    """Slots of the backend servers whose home this entry is."""

    def try_acquire(
        self, service: str, excluded: frozenset[str], deadline_at: float
    ) -> Slot | None:
        """Take a slot if one is free, on a server that is not excluded."""
        ...

    def wait(
        self,
        service: str,
        deadline_at: float,
        excluded: frozenset[str] = frozenset(),
    ) -> "Future[Slot]":
        """Queue for a slot; cancel the future to leave the queue.

        Raises
        ------
        OverloadedError
            If the queue of the service is full, or too long for the deadline.
        """
        ...

    def release(self, slot: Slot) -> None:
        """Give a slot back, once the request surely no longer runs."""
        ...

    def waiting(self, service: str) -> int:
        """Return the number of calls that wait here for a slot of a service."""
        ...

    def load_by_service(self) -> dict[str, ServiceLoad]:
        """Return the load of each service on this entry."""
        ...

    def take_offer(self, offer: SlotOffer) -> bool:
        """Give a slot offered by a peer to a waiting call, if there is one."""
        ...

    def reserve(self, service: str) -> tuple[Slot, str] | None:
        """Hold a free slot that no call here waits for, under a new token.

        The slot is free again unless it is redeemed within a second. Returns None
        if no slot is free or calls wait here.
        """
        ...

    def redeem(
        self, reservation: str, deadline_at: float = float("inf")
    ) -> Slot | None:
        """Return the slot reserved under a token, once, for a call with a deadline."""
        ...

    def subscribe_free(self, listener: Callable[[str], None]) -> None:
        """Call a listener with a service that has a slot free and nobody waiting.

        The listener runs on the thread that freed the slot and must not block.
        """
        ...

    def subscribe_cancel(self, listener: Callable[[tuple[int, ...]], None]) -> None:
        """Call a listener with the ids of slots that a cold server cannot bear.

        Idempotent requests in these slots are to be cancelled and sent elsewhere.
        The listener must not block.
        """
        ...

    def bearing(self, backend_id: str) -> HandoverState:
        """Return what a backend server bears and has in flight from here."""
        ...


class Exchange(Protocol):
    """An attempt that was given to a connection."""

    @property
    def answer(self) -> "Future[Answer]":
        """Future of the answer; fails with a ``CallError``."""
        ...

    @property
    def ended(self) -> "Future[Any]":
        """Future that is done once the other side no longer works on the attempt."""
        ...

    def cancel(self) -> None:
        """Ask the other side to stop; the futures end all the same."""
        ...


class Backends(Protocol):
    """Connections to backend servers, one task for each."""

    def send(self, server: BackendServer, attempt: Attempt) -> Exchange:
        """Give an attempt to a connection.

        Raises
        ------
        TaskPoolFullError
            If no more connections may be opened; nothing was sent.
        """
        ...

    def probe(self, server: BackendServer, timeout_s: float) -> ProbeAnswer:
        """Probe a backend server.

        Raises
        ------
        CallError
            If it did not answer.
        """
        ...

    def drop(self, backend_id: str) -> None:
        """Close the idle connections to a backend server."""
        ...


class Relays(Protocol):
    """Connections to other entries that take relayed calls."""

    def relay(self, member: Member, attempt: Attempt) -> Exchange:
        """Relay a call; the answer fails with a ``CallError``.

        Raises
        ------
        TaskPoolFullError
            If no more connections may be opened; nothing was sent.
        """
        ...


class Routing(Protocol):
    """Chooses another home for a call; the policy is behind ``Policy``."""

    def choose_peer(self, service: str, excluded: frozenset[str]) -> Member | None:
        """Return a member likely to have a slot free, or None."""
        ...

    def choose_busy_peer(self, service: str, excluded: frozenset[str]) -> Member | None:
        """Return a home of the service that is not known to have a slot free.

        Its refusal of a call tells it that the call waits here.
        """
        ...

    def learn(self, member_id: str, service: str, load: ServiceLoad) -> None:
        """Take in the load that a peer reported with a relayed answer."""
        ...

    def note_refused(self, member_id: str, service: str) -> None:
        """Take in that a peer's call found no slot here and waits there."""
        ...

    def note_waiting(self, member_id: str, service: str, waiting: int) -> None:
        """Take in how many calls wait at a peer."""
        ...

    def waiting_peer(self, service: str) -> Member | None:
        """Return the member known to hold most waiting calls, or None."""
        ...

    def note_offered(self, member_id: str, service: str) -> None:
        """Take in that a waiting call of a peer gets a slot here."""
        ...

    def subscribe_waiting(self, listener: Callable[[str], None]) -> None:
        """Call a listener with a service as soon as calls of it wait at a peer.

        The listener must not block.
        """
        ...

    def load_of(self, member_id: str, service: str) -> ServiceLoad | None:
        """Return the last load known of a peer, or None."""
        ...


class Pulling(Protocol):
    """Lets peers pull their waiting calls to slots that come free here."""

    def offer(self, service: str) -> None:
        """Offer the free slots of a service to peers whose calls wait, if any."""
        ...


class Claims(Protocol):
    """Idempotency keys, claimed before anything is sent."""

    def claim(self, call: Call) -> Answer | None:
        """Claim the key of a call; return the recorded answer if it already ran.

        Raises
        ------
        KeyReusedError
            If the key came before with another request.
        DuplicateCallError
            If an earlier call with this key may have run.
        ClaimUnavailableError
            If the platform could not take the claim; nothing was sent.
        """
        ...

    def settle(self, call: Call, answer: Answer | None) -> None:
        """Record the answer, or None where nothing ran and the key is free again."""
        ...


class Calls(Protocol):
    """Serves calls."""

    def serve(self, call: Call) -> Answer:
        """Return the answer to a call.

        Raises
        ------
        CallError
            If the call could not be answered; ``ran`` tells if it may have run.
        """
        ...

    def in_flight(self) -> int:
        """Return the number of calls being served."""
        ...


class Directory(Protocol):
    """Tells callers which entries to use."""

    def entries(self, service: str) -> DirectoryAnswer:
        """Return the entries for a service.

        Raises
        ------
        UnknownServiceError
            If the manifest declares no such service.
        """
        ...


class Peers(Protocol):
    """Control messages to other entries; all raise ``PeerUnavailableError``."""

    def beat(self, member: Member, heartbeat: Heartbeat) -> Heartbeat:
        """Exchange heartbeats."""
        ...

    def fetch_manifest(self, member: Member, above: int) -> Revision | None:
        """Return the peer's revision if its number is above the given one."""
        ...

    def list_members(self, address: str) -> tuple[Member, ...]:
        """Return the members that the entry at an address knows."""
        ...

    def offer_slot(self, member: Member, offer: SlotOffer) -> bool:
        """Offer a slot; return whether a waiting call took it."""
        ...

    def hand_over(
        self,
        member: Member,
        backend_id: str,
        assignment: int,
        progress: Callable[[HandoverState], None],
    ) -> None:
        """Take a backend server over, calling ``progress`` until none is in flight."""
        ...


class Drain(Protocol):
    """Planned stop."""

    def draining(self) -> bool:
        """Tell whether the planned stop has begun."""
        ...

    def takes_calls(self) -> bool:
        """Tell whether new calls are still served."""
        ...

    def run(self) -> None:
        """Perform the planned stop; return when no call is in flight."""
        ...


class StoppableFrontend(Protocol):
    """Front end that ends its connections in a planned stop."""

    def close_after_answers(self) -> None:
        """Close each connection after its next answer, and say so in the answer."""
        ...

    def busy(self) -> bool:
        """Tell whether a request is being served or an answer is not yet sent."""
        ...


class Status(Protocol):
    """Status of this entry, for operators."""

    def healthy(self) -> bool:
        """Tell whether the entry takes new work and is not stopping."""
        ...

    def entry(self) -> EntryStatus:
        """Return the status of this entry."""
        ...

    def publish(self) -> None:
        """Set the gauges among the metrics to the status."""
        ...


@runtime_checkable
class Policy(Protocol):
    """Chooses among candidates with known free slots."""

    def choose(self, free_by_id: dict[str, int]) -> str | None:
        """Return the id of the chosen candidate, or None if there is none."""
        ...


@runtime_checkable
class ServerPolicy(Protocol):
    """Chooses a backend server where entries share nothing."""

    def choose(
        self, servers: list[BackendServer], load_by_id: dict[str, int]
    ) -> BackendServer:
        """Return one of the servers, given the requests counted at each."""
        ...
