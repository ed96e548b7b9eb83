"""A simulated cluster: the control services of several entries over one table.

The test advances the clock and runs the tasks; there are no threads.
"""

from collections.abc import Callable

from attrs import define, field

from dotterelpier.errors import ConflictError, PeerUnavailableError
from dotterelpier.kernel import Kernel
from dotterelpier.manifest_apply import (
    AppliedManifest,
    ApplyContext,
    apply_manifest,
    count_acknowledgements,
)
from dotterelpier.model.manifest import Revision
from dotterelpier.model.membership import (
    HandoverState,
    Heartbeat,
    HomeGrant,
    Member,
    SlotOffer,
)
from dotterelpier.model.platform import Vm, VmState, Write
from dotterelpier.protocols import Homes, ManifestSource, Membership, ServiceName
from dotterelpier.services.homes import make_homes
from dotterelpier.services.manifest import make_manifest_source
from dotterelpier.services.membership import make_membership
from dotterelpier.settings import LeaseSettings
from dotterelpier.wire.rows import (
    MANIFEST_KEY,
    MEMBER_PREFIX,
    ManifestRow,
    decode_row,
    encode_row,
)
from tests.fakes import (
    ManualClock,
    MemoryPlatform,
    MemoryTable,
    StepTasks,
    make_step_kernel,
    step,
)

TICK_S = 0.5
POLL_S = 1.0
SERVER = "server-1"
ZONES = ("north", "south", "east")
MANIFEST = """
tenant = "test"

[[zones]]
name = "north"
region = "here"
state = "{north}"

[[zones]]
name = "south"
region = "here"

[[zones]]
name = "east"
region = "here"

[[services]]
name = "catalogue"

[[backend_servers]]
id = "server-2"
service = "catalogue"
address = "127.0.0.8:80"
zone = "south"
"""
SERVER_TABLE = """
[[backend_servers]]
id = "server-1"
service = "catalogue"
address = "127.0.0.9:80"
zone = "north"
"""


def manifest_text(*, out: bool = False, declared: bool = True) -> str:
    """Return a manifest with one backend server in the zone north."""
    text = MANIFEST.format(north="out" if out else "in")
    return text + SERVER_TABLE * declared


@define(eq=False)
class Request:
    """A request that an entry sends to the cold backend server."""

    node: "Node"
    deadline_at: float
    sent: bool = False


@define(eq=False)
class ColdLimiter:
    """Limits the backend server to one request in flight, as in its cold start."""

    limit: int = 0
    in_flight_elsewhere: int = 0
    in_flight: int = 0

    def on_home_change(self, backend_id: str, grant: HomeGrant | None) -> None:
        if backend_id != SERVER:
            return
        self.limit = 0 if grant is None else 1
        self.in_flight_elsewhere = 0 if grant is None else grant.in_flight_elsewhere

    def handover_state(self, backend_id: str) -> HandoverState:
        own = self.in_flight if backend_id == SERVER else 0
        return HandoverState(self.limit, own, 30.0 * bool(own))

    @property
    def free(self) -> bool:
        return self.in_flight + self.in_flight_elsewhere < self.limit


@define(eq=False)
class Node:
    """The control services of one entry."""

    name: str
    kernel: Kernel
    platform: MemoryPlatform
    membership: Membership
    manifest: ManifestSource
    homes: Homes
    limiter: ColdLimiter
    paused: bool = False
    highest_revision: int = 0

    @property
    def me(self) -> Member:
        return self.membership.me()

    def revision(self) -> int:
        current = self.manifest.current()
        return 0 if current is None else current.number

    def may_send(self, *, cold: bool) -> bool:
        return self.homes.send_deadline(SERVER, cold=cold) is not None

    def admits(self) -> bool:
        """Return whether this entry may send new work to the backend server."""
        current = self.manifest.current()
        if current is None or SERVER not in current.manifest.backend_by_id:
            return False
        if current.manifest.zone_is_out("north"):
            return False
        return self.membership.may_take_work() and self.may_send(cold=False)


@define
class DirectPeers:
    """Control messages, delivered as direct calls to the other entries' services."""

    _cluster: "Cluster"
    _name: str

    def beat(self, member: Member, heartbeat: Heartbeat) -> Heartbeat:
        peer = self._reach(member.peer_address)
        peer.membership.record_heartbeat(heartbeat)
        return peer.membership.heartbeat()

    def fetch_manifest(self, member: Member, above: int) -> Revision | None:
        current = self._reach(member.peer_address).manifest.current()
        if self._cluster.fetches_refused:
            raise PeerUnavailableError("refused", step="peer.fetch_manifest")
        if self._cluster.pinned_revision is not None:
            return self._cluster.pinned_revision
        return current if current is not None and current.number > above else None

    def list_members(self, address: str) -> tuple[Member, ...]:
        known_by_id = self._reach(address).membership.known_by_id()
        return tuple(known_by_id.values())

    def offer_slot(self, member: Member, offer: SlotOffer) -> bool:
        return False

    def hand_over(
        self,
        member: Member,
        backend_id: str,
        assignment: int,
        progress: Callable[[HandoverState], None],
    ) -> None:
        peer = self._reach(member.peer_address)
        progress(peer.homes.hand_over(backend_id, assignment))
        if peer.limiter.in_flight:
            raise PeerUnavailableError("stream broke", step="peer.hand_over")

    def _reach(self, address: str) -> Node:
        for peer in self._cluster.node_by_name.values():
            cut = frozenset((self._name, peer.name)) in self._cluster.cut_links
            if peer.me.peer_address == address and not peer.paused and not cut:
                return peer
        raise PeerUnavailableError("unreachable", step="peer", peer=address)


@define
class Cluster:
    """Entries, a cold backend server and an operator.

    Invariants checked after each task: the backend server never has more than one
    request in flight, at most one entry may send to it while it is cold, and no entry
    goes back to a lower revision. Checked after each step: once a revision has been in
    force for ``BOUND_S``, no entry acts against it.
    """

    BOUND_S = 5.0

    clock: ManualClock = field(factory=ManualClock)
    table: MemoryTable = field(factory=MemoryTable)
    objects: dict[str, bytes] = field(factory=dict)
    node_by_name: dict[str, Node] = field(factory=dict)
    cut_links: set[frozenset[str]] = field(factory=set)
    requests: list[Request] = field(factory=list)
    applied: list[tuple[AppliedManifest, bool]] = field(factory=list)
    in_force_since: dict[int, float] = field(factory=dict)
    conflicts: int = 0
    starts: int = 0
    fetches_refused: bool = False
    pinned_revision: Revision | None = None
    vms: tuple[Vm, ...] = ()
    peak: int = 0

    def start(self, name: str, zone: str = "north", seeds: str = "") -> None:
        """Start an entry; reusing a name restarts it at the same address."""
        self.starts += 1
        platform = MemoryPlatform(self.clock, self.table, self.objects, self.vms)
        host = f"10.0.0.{ord(name[0])}"
        addresses = [f"{host}:{port}" for port in (1, 2, 3)]
        me = Member(f"{name}.{self.starts:04}", zone, *addresses, lease_s=6.0)
        kernel = make_step_kernel(self.clock, platform)
        kernel.register(ServiceName.PEERS, DirectPeers(self, name))
        lease = LeaseSettings(seeds=tuple(f"10.0.0.{ord(seed)}:3" for seed in seeds))
        membership = make_membership(kernel, me, lease, POLL_S)
        kernel.register(ServiceName.MEMBERSHIP, membership)
        manifest = make_manifest_source(kernel, POLL_S)
        kernel.register(ServiceName.MANIFEST, manifest)
        homes = make_homes(kernel, POLL_S)
        kernel.register(ServiceName.HOMES, homes)
        limiter = ColdLimiter()
        homes.set_handover_state_source(limiter.handover_state)
        homes.subscribe(limiter.on_home_change)
        node = Node(name, kernel, platform, membership, manifest, homes, limiter)
        self.node_by_name[name] = node
        kernel.find(ServiceName.TASKS, StepTasks).after_task = self.check
        membership.start()
        manifest.start()
        homes.start()

    def run(self, seconds: float) -> None:
        """Advance the clock, and step all entries that are not paused."""
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            self._end_requests()
            for node in tuple(self.node_by_name.values()):
                if not node.paused and node.name in self.node_by_name:
                    step(node.kernel)
            self.check()
            self._check_in_force()

    def kill(self, name: str) -> None:
        """Stop an entry without a planned stop; its requests in flight continue."""
        del self.node_by_name[name]

    def pause(self, name: str) -> None:
        """Suspend an entry, like a stopped process."""
        self.node_by_name[name].paused = True

    def resume(self, name: str) -> None:
        """Continue a paused entry."""
        self.node_by_name[name].paused = False

    def pause_in_commit(self, name: str, seconds: float) -> None:
        """Pause an entry in its next write, before the platform receives it."""

        def hook() -> None:
            self.pause(name)
            self.run(seconds)
            if name in self.node_by_name:
                self.resume(name)

        self.node_by_name[name].platform.before_commit = hook

    def platform_down(self, *names: str) -> None:
        """Cut entries off from the platform; without names, all of them."""
        for name in names or tuple(self.node_by_name):
            self.node_by_name[name].platform.down = True

    def platform_up(self, *names: str) -> None:
        """Reconnect entries to the platform; without names, all of them."""
        for name in names or tuple(self.node_by_name):
            self.node_by_name[name].platform.down = False

    def lose_reply(self, name: str) -> None:
        """Lose the reply to the next write of an entry."""
        self.node_by_name[name].platform.lose_replies = 1

    def cut(self, first: str, second: str) -> None:
        """Cut the link between two entries."""
        self.cut_links.add(frozenset((first, second)))

    def heal(self) -> None:
        """Restore all links."""
        self.cut_links.clear()

    def start_without_platform(self, name: str, seeds: str) -> None:
        """Start an entry, and cut it off from the platform at once."""
        self.start(name, "east", seeds)
        self.platform_down(name)

    def objects_down(self, name: str) -> None:
        """Cut an entry off from the object store, but not from the table."""
        self.node_by_name[name].platform.objects_down = True

    def refuse_fetches(self) -> None:
        """Make every entry refuse requests for its manifest."""
        self.fetches_refused = True

    def keep_for_fetches(self) -> None:
        """Make all peers answer manifest requests with the current revision forever."""
        (node, *_) = self.node_by_name.values()
        self.pinned_revision = node.manifest.current()

    def roll_back_platform(self) -> None:
        """Reset the platform's manifest row to the first revision."""
        operator = MemoryPlatform(self.clock, self.table, self.objects)
        first = ManifestRow(1, self.applied[0][0].digest, "apply-0")
        operator.commit([Write(MANIFEST_KEY, encode_row(first))])

    def list_vms(self, names: str) -> None:
        """Set the platform's list of live VMs."""
        self.vms = tuple(Vm(f"10.0.0.{ord(name)}", VmState.LIVE) for name in names)
        for node in self.node_by_name.values():
            node.platform.vms = self.vms

    def expect_rows(self, count: int) -> None:
        """Check the number of lease rows, in the middle of a trace."""
        assert len(self.members()) == count

    def expect_homes(self, *names: str) -> None:
        """Check who may send to the cold backend server, in the middle of a trace."""
        assert self.homes_of_server() == list(names)

    def apply(
        self, out: bool = False, declared: bool = True, lost: bool = False
    ) -> None:
        """Apply a manifest as an operator who reaches the platform.

        Parameters
        ----------
        out : bool
            Whether the manifest takes the zone of the backend server out.
        declared : bool
            Whether it declares the backend server.
        lost : bool
            Whether the reply to the write is lost.
        """
        text = manifest_text(out=out, declared=declared) + f"# {len(self.applied)}\n"
        operator = MemoryPlatform(self.clock, self.table, self.objects)
        operator.lose_replies = int(lost)
        apply_context = ApplyContext("test", "host", f"apply-{len(self.applied)}")
        applied = apply_manifest(operator, operator, self.clock, text, apply_context)
        self.applied.append((applied, out or not declared))

    def apply_race(self, first_out: bool) -> None:
        """Apply a zone change while another operator removes the backend server."""
        operator = MemoryPlatform(self.clock, self.table, self.objects)
        operator.before_commit = lambda: self.apply(declared=False)
        text = manifest_text(out=first_out) + "# race\n"
        apply_context = ApplyContext("other", "host", f"race-{len(self.applied)}")
        try:
            apply_manifest(operator, operator, self.clock, text, apply_context)
        except ConflictError:
            self.conflicts += 1
        else:
            raise AssertionError("both concurrent applies succeeded")

    def begin_send(self, name: str) -> None:
        """Make an entry decide to send to the cold backend server, if it may."""
        node = self.node_by_name[name]
        deadline_at = node.homes.send_deadline(SERVER, cold=True)
        if node.paused or not node.limiter.free or deadline_at is None:
            return
        node.limiter.in_flight += 1
        self.requests.append(
            Request(node, min(deadline_at, self.clock.monotonic() + 30.0))
        )

    def finish_send(self, name: str) -> None:
        """Send what an entry decided on; the backend server drops expired requests."""
        for request in self.requests:
            if request.node.name == name and not request.node.paused:
                request.sent = True
        self._end_requests()
        self.check()

    def end_request(self) -> None:
        """Make the backend server answer the oldest request sent."""
        sent = [request for request in self.requests if request.sent]
        if sent and not sent[0].node.paused:
            self._end(sent[0])

    def homes_of_server(self) -> list[str]:
        """Return the entries that may send to the cold backend server now."""
        return [
            node.name
            for node in self.node_by_name.values()
            if not node.paused and node.may_send(cold=True)
        ]

    def newest_in_force(self) -> bool:
        """Return whether enough members acknowledged the newest revision."""
        newest, _ = self.applied[-1]
        return count_acknowledgements(self.members(), newest).in_force

    def check(self) -> None:
        """Check the invariants that hold at any time."""
        homes = self.homes_of_server()
        assert len(homes) <= 1, f"several homes of a cold backend server: {homes}"
        in_flight = sum(request.sent for request in self.requests)
        self.peak = max(self.peak, in_flight)
        assert in_flight <= 1, f"{in_flight} in flight at a cold backend server"
        for node in self.node_by_name.values():
            assert node.revision() >= node.highest_revision, (
                "entry went back to a lower revision"
            )
            node.highest_revision = node.revision()

    def _check_in_force(self) -> None:
        if not self.applied:
            return
        newest, forbids_work = self.applied[-1]
        if self.newest_in_force():
            self.in_force_since.setdefault(newest.number, self.clock.monotonic())
        since = self.in_force_since.get(newest.number, float("inf"))
        if self.clock.monotonic() - since < self.BOUND_S:
            return
        running = [node for node in self.node_by_name.values() if not node.paused]
        violating = [node.name for node in running if forbids_work and node.admits()]
        assert not violating, (
            f"entries admit work that the manifest forbids: {violating}"
        )
        outdated = [
            node.name
            for node in running
            if node.revision() < newest.number and node.membership.may_take_work()
        ]
        assert not outdated, f"entries take work under an older revision: {outdated}"

    def members(self) -> list[Member]:
        rows = self.table.row_by_key
        return [
            decode_row(rows[key], Member)
            for key in sorted(rows)
            if key.startswith(MEMBER_PREFIX)
        ]

    def _end_requests(self) -> None:
        now = self.clock.monotonic()
        for request in tuple(self.requests):
            if now >= request.deadline_at and not request.node.paused:
                self._end(request)
            elif now >= request.deadline_at:
                request.sent = False

    def _end(self, request: Request) -> None:
        self.requests.remove(request)
        request.node.limiter.in_flight -= 1
