"""Paths and bodies of the pages that the platform and its clients ask for."""

import json
from urllib.parse import parse_qs

READINESS_PATH = "/readiness"
DIRECTORY_PATH = "/resolve"


class PlatformPages:
    """Reads questions to the directory and writes its answers."""

    readiness_path = READINESS_PATH
    directory_path = DIRECTORY_PATH

    def host_of_client(self, query: str) -> str:
        """Return the host that a client asks for, empty if it names none."""
        return parse_qs(query).get("name", [""])[0].lower()

    def zone_of_client(self, query: str) -> str:
        """Return the zone that a client names, empty if it names none."""
        return parse_qs(query).get("zone", [""])[0]

    def directory_answer(self, addresses: tuple[str, ...], ttl_s: float) -> bytes:
        """Return the answer that names entries, to be kept for a time."""
        return json.dumps({"addresses": list(addresses), "ttlS": ttl_s}).encode()


def make_platform_pages() -> PlatformPages:
    """Return the pages of the platform."""
    return PlatformPages()
