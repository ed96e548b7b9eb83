"""Keys of the channel between entries, which both sides prove to each other."""

from pathlib import Path

import grpc
from attrs import field, frozen

from dotterelpier.errors import SettingsError
from dotterelpier.settings import TlsSettings


@frozen
class TlsKeys:
    """Contents of the files that the settings name, in PEM.

    Attributes
    ----------
    certificate, key : bytes
        Own certificate chain and its private key.
    ca : bytes
        Certificates of the authorities that sign those of the entries.
    """

    certificate: bytes
    key: bytes = field(repr=False)
    ca: bytes

    def channel_credentials(self) -> grpc.ChannelCredentials:
        """Return what a client needs."""
        return grpc.ssl_channel_credentials(self.ca, self.key, self.certificate)

    def server_credentials(self) -> grpc.ServerCredentials:
        """Return what a server needs; clients without a certificate are refused."""
        return grpc.ssl_server_credentials(
            [(self.key, self.certificate)], self.ca, require_client_auth=True
        )


def read_tls_keys(settings: TlsSettings | None) -> TlsKeys | None:
    """Return the keys that the settings name, None if they name none.

    Raises
    ------
    SettingsError
        If a file cannot be read, naming its key in the settings.
    """
    if settings is None:
        return None
    return TlsKeys(
        _read_pem_file("certificate_file", settings.certificate_file),
        _read_pem_file("key_file", settings.key_file),
        _read_pem_file("ca_file", settings.ca_file),
    )


def _read_pem_file(key: str, file: str) -> bytes:
    try:
        content = Path(file).read_bytes()
    except OSError as error:
        raise SettingsError(
            f"tls.{key}: {error.strerror}", step="settings", peer=file
        ) from None
    if b"-----BEGIN " not in content:
        raise SettingsError(
            f"tls.{key}: the file is not PEM", step="settings", peer=file
        )
    return content
