"""Tests of TLS between entries."""

from collections.abc import Iterator
from pathlib import Path

import grpc
import pytest
import trustme

from dotterelpier.clients.peers import make_peers
from dotterelpier.errors import PeerUnavailableError, SettingsError
from dotterelpier.frontends.peers import PeerFrontend, PeerServicer
from dotterelpier.model.membership import Heartbeat, Member
from dotterelpier.settings import TlsSettings
from dotterelpier.tls import TlsKeys, read_tls_keys
from tests.test_path import SERVER_TEMPLATE, SMALL_MANIFEST
from tests.utils import NET, EntryProcess, running_system, wait_until

HOST = f"127.{NET}.7.1"
MEMBER = Member("entry-2", "z", "", "", f"{HOST}:8002")


class HeartbeatMembership:
    """A membership that only answers heartbeats."""

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take in a heartbeat."""

    def heartbeat(self) -> Heartbeat:
        return Heartbeat("entry-2", revision=7)


def _write(folder: Path, name: str, authority: trustme.CA, *hosts: str) -> TlsSettings:
    issued = authority.issue_cert(*hosts)
    files = [folder / f"{name}.{part}.pem" for part in ("cert", "key", "ca")]
    for blob in issued.cert_chain_pems:
        blob.write_to_path(files[0], append=True)
    issued.private_key_pem.write_to_path(files[1])
    authority.cert_pem.write_to_path(files[2])
    return TlsSettings(*map(str, files))


def _keys(folder: Path, name: str, authority: trustme.CA, host: str) -> TlsKeys:
    keys = read_tls_keys(_write(folder, name, authority, host))
    assert keys is not None
    return keys


@pytest.fixture(scope="module")
def authority() -> trustme.CA:
    return trustme.CA()


@pytest.fixture(scope="module")
def folder(tmp_path_factory) -> Path:
    return tmp_path_factory.mktemp("keys")


@pytest.fixture(scope="module", autouse=True)
def frontend(folder, authority) -> Iterator[None]:
    servicer = PeerServicer(None, HeartbeatMembership(), None, None, None)
    keys = _keys(folder, "server", authority, HOST)
    server = PeerFrontend(servicer, MEMBER.peer_address, 2, keys)
    server.start()
    yield
    server.stop()


def test_peers_with_trusted_certificates_exchange_heartbeats(folder, authority) -> None:
    peers = make_peers("entry-1", _keys(folder, "client", authority, "127.0.0.1"))
    assert peers.beat(MEMBER, Heartbeat("entry-1")).revision == 7


def test_unencrypted_peer_is_rejected() -> None:
    with pytest.raises(PeerUnavailableError):
        make_peers("entry-1").beat(MEMBER, Heartbeat("entry-1"))


def test_certificate_of_another_authority_is_rejected(folder) -> None:
    keys = _keys(folder, "stranger", trustme.CA(), "127.0.0.1")
    with pytest.raises(PeerUnavailableError):
        make_peers("entry-1", keys).beat(MEMBER, Heartbeat("entry-1"))


def test_client_without_a_certificate_is_rejected(folder, authority) -> None:
    authority.cert_pem.write_to_path(folder / "only-ca.pem")
    credentials = grpc.ssl_channel_credentials((folder / "only-ca.pem").read_bytes())
    with (
        grpc.secure_channel(MEMBER.peer_address, credentials) as channel,
        pytest.raises(grpc.RpcError),
    ):
        channel.unary_unary("/dotterelpier.Peers/Beat")(b"", timeout=2)


def test_certificate_must_name_the_address(folder, authority) -> None:
    other = PeerFrontend(
        PeerServicer(None, HeartbeatMembership(), None, None, None),
        f"{HOST}:8012",
        2,
        _keys(folder, "elsewhere", authority, "127.0.0.9"),
    )
    other.start()
    try:
        peers = make_peers("entry-1", _keys(folder, "client2", authority, "127.0.0.1"))
        with pytest.raises(PeerUnavailableError):
            member = Member("entry-3", "z", "", "", f"{HOST}:8012")
            peers.beat(member, Heartbeat("entry-1"))
    finally:
        other.stop()


def test_error_names_the_key_of_a_bad_file(folder, authority) -> None:
    good = _write(folder, "good", authority, "127.0.0.1")
    missing = TlsSettings(good.certificate_file, str(folder / "none"), good.ca_file)
    with pytest.raises(SettingsError, match="tls.key_file"):
        read_tls_keys(missing)
    (folder / "text").write_text("no key")
    garbled = TlsSettings(good.certificate_file, good.key_file, str(folder / "text"))
    with pytest.raises(SettingsError, match="tls.ca_file"):
        read_tls_keys(garbled)


def test_private_key_is_not_in_the_repr(folder, authority) -> None:
    keys = _keys(folder, "secret", authority, "127.0.0.1")
    assert "PRIVATE" not in repr(keys)


def test_entries_with_tls_exchange_heartbeats(tmp_path, authority) -> None:
    hosts = [f"127.{NET}.1.{number}" for number in (1, 2)]
    keys = _write(tmp_path, "entries", authority, *hosts)
    extra = f"""
[tls]
certificate_file = "{keys.certificate_file}"
key_file = "{keys.key_file}"
ca_file = "{keys.ca_file}"
"""
    server = SERVER_TEMPLATE.format(service="catalogue", net=0, number=1, zone=1)
    with running_system(tmp_path, SMALL_MANIFEST + server) as system:
        system.start_standins()
        system.start_entries(2, extra)
        assert system.apply().returncode == 0
        system.wait_ready()
        wait_until(
            lambda: all(
                _has_peer_heartbeat(entry) for entry in system.entries.values()
            ),
            "heard",
        )


def _has_peer_heartbeat(entry: EntryProcess) -> bool:
    members = entry.status()["members"]
    others = [member for member in members if member["id"].split(".")[0] != entry.name]
    return len(others) == 1 and others[0]["heard_age_s"] >= 0
