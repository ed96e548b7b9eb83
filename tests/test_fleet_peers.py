"""Messages between fleet entries, and peers that answer with anything."""

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from dotterelpier.clients.fleet_peers import make_fleet_peers
from dotterelpier.errors import PeerUnavailableError
from dotterelpier.model.fleet import FleetMember
from dotterelpier.protocols import ServiceName
from dotterelpier.protocols.fleet import Fleet, Mirrors
from dotterelpier.wire.fleet import CHANGES_PATH, PING_PATH
from tests.fleet_system import start_fleet_system
from tests.scripted_server import ScriptedServer
from tests.utils import request, wait_until


@pytest.fixture(scope="module")
def system():
    system = start_fleet_system()
    yield system
    system.stop()


@pytest.fixture
def peers():
    client = make_fleet_peers("entry-9")
    yield client
    client.stop()


def member_at(address: str, incarnation: str = "x") -> FleetMember:
    return FleetMember("entry-1", "zone-a", "127.0.0.1:1", address, incarnation)


def test_ping_reaches_the_incarnation_that_it_names(system, peers) -> None:
    me = system.kernel.find(ServiceName.FLEET, Fleet).me()
    for _ in range(3):
        peers.ping(me)
    with pytest.raises(PeerUnavailableError, match="incarnation"):
        peers.ping(member_at(me.peer_address))


def test_changes_are_those_of_the_mirror(system, peers) -> None:
    me = system.kernel.find(ServiceName.FLEET, Fleet).me()
    mirrors = system.kernel.find(ServiceName.MIRRORS, Mirrors)
    wait_until(lambda: mirrors.changes("entries", 0).rows, "the row is mirrored")
    assert peers.changes(me, "entries", 0) == mirrors.changes("entries", 0)
    assert peers.changes(me, "unknown", 0).rows == ()


@pytest.mark.parametrize("path", [PING_PATH, CHANGES_PATH])
def test_malformed_message_is_refused_and_the_next_is_served(
    system, peers, path
) -> None:
    me = system.kernel.find(ServiceName.FLEET, Fleet).me()
    assert request(me.peer_address, "POST", path, b"\xff" * 9).status == 400
    assert request(me.peer_address, "POST", "/nothing", b"").status == 404
    peers.ping(me)


@settings(
    max_examples=40,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(body=st.binary(max_size=64), status=st.sampled_from([200, 204, 404, 500]))
def test_any_answer_of_a_peer_raises_at_most_peer_unavailable(
    peers, body, status
) -> None:
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    server = ScriptedServer(lambda received: [head + body])
    for call in (
        lambda: peers.ping(member_at(server.address)),
        lambda: peers.changes(member_at(server.address), "op", 0),
    ):
        try:
            call()
        except PeerUnavailableError:
            pass
    server.close()


def test_stopped_client_sends_nothing(peers) -> None:
    server = ScriptedServer(lambda received: [b""])
    peers.stop()
    with pytest.raises(PeerUnavailableError):
        peers.ping(member_at(server.address))
    assert server.received == []
    server.close()
