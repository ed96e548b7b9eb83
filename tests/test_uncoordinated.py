"""The baselines in which every entry chooses alone."""

import itertools
import random

from attrs import define, field

from dotterelpier.kernel import make_kernel
from dotterelpier.model.evidence import ExchangeResult, LoadReport, Observation
from dotterelpier.model.manifest import BackendServer, Manifest, Revision, Service, Zone
from dotterelpier.protocols import ServiceName
from dotterelpier.services.uncoordinated import (
    RoundRobinPolicy,
    TwoChoicesPolicy,
    make_uncoordinated_admission,
    make_uncoordinated_homes,
)

SERVICE = "catalogue"
SERVERS = tuple(
    BackendServer(name, SERVICE, f"127.0.0.{number}:80", "north")
    for number, name in enumerate(("one", "two", "three"), start=1)
)
EXCLUDE_NONE: frozenset[str] = frozenset()


def make_revision(number: int, servers: tuple[BackendServer, ...]) -> Revision:
    zones = (Zone("north", "tt"),)
    manifest = Manifest("caroni", zones, (Service(SERVICE),), servers)
    return Revision(number, "", "", "", manifest)


@define
class FakeManifest:
    """Revisions that the test puts in force."""

    revision: Revision = field(factory=lambda: make_revision(1, SERVERS))
    listeners: list = field(factory=list)

    def current(self) -> Revision:
        return self.revision

    def subscribe(self, listener) -> None:
        self.listeners.append(listener)
        listener(self.revision)


@define
class FakeEvidence:
    """Evidence that speaks for some servers."""

    allowed_ids: set = field(factory=lambda: {server.id for server in SERVERS})
    listeners: list = field(factory=list)

    def allows(self, backend_id: str) -> bool:
        return backend_id in self.allowed_ids

    def subscribe(self, listener) -> None:
        self.listeners.append(listener)


def make_admission(policy: str, evidence: FakeEvidence):
    kernel = make_kernel()
    kernel.register(ServiceName.MANIFEST, FakeManifest())
    kernel.register(ServiceName.EVIDENCE, evidence)
    admission = make_uncoordinated_admission(kernel, policy, seed=1)
    admission.start()
    return admission


def test_round_robin_chooses_servers_in_turn() -> None:
    policy = RoundRobinPolicy(itertools.count())
    chosen = [policy.choose(list(SERVERS), {}).id for _ in range(4)]
    assert chosen == ["one", "two", "three", "one"]


def test_two_choices_never_chooses_the_most_loaded() -> None:
    policy = TwoChoicesPolicy(random.Random(1))
    load_by_id = {"one": 9, "two": 1, "three": 2}
    chosen = {policy.choose(list(SERVERS), load_by_id).id for _ in range(50)}
    assert chosen == {"two", "three"}


def test_reported_load_counts_as_in_flight() -> None:
    evidence = FakeEvidence(allowed_ids={"one", "two"})
    admission = make_admission("two_choices", evidence)
    for listener in evidence.listeners:
        report = LoadReport(in_flight=4)
        listener(Observation("one", ExchangeResult.ANSWERED, 0.0, report))
    assert admission.try_acquire(SERVICE, EXCLUDE_NONE, 1.0).server.id == "two"


def test_servers_that_evidence_disallows_get_nothing() -> None:
    admission = make_admission("round_robin", FakeEvidence(allowed_ids={"two"}))
    assert admission.try_acquire(SERVICE, EXCLUDE_NONE, 1.0).server.id == "two"
    assert admission.try_acquire(SERVICE, frozenset({"two"}), 1.0) is None


def test_homes_follow_the_manifest() -> None:
    kernel = make_kernel()
    manifest = FakeManifest()
    kernel.register(ServiceName.MANIFEST, manifest)
    homes = make_uncoordinated_homes(kernel)
    homes.start()
    notifications = []
    homes.subscribe(lambda key, grant: notifications.append((key, grant is not None)))
    assert sorted(notifications) == [("one", True), ("three", True), ("two", True)]
    for listener in manifest.listeners:
        listener(make_revision(2, SERVERS[:1]))
    assert notifications[-1][1] is False
    assert homes.send_deadline("two", cold=False) is None
    assert homes.is_home("one")
