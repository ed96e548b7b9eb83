"""Paths and bodies of the readiness page and the directory page."""

import json
from urllib.parse import parse_qs

READINESS_PATH = "/readiness"
DIRECTORY_PATH = "/resolve"


class PlatformPages:
    """Decodes directory queries and encodes the answers; any thread may use it."""

    readiness_path = READINESS_PATH
    directory_path = DIRECTORY_PATH

    def host_of_client(self, query: str) -> str:
        """Return the requested host in lower case, empty if the query has none."""
        return parse_qs(query).get("name", [""])[0].lower()

    def zone_of_client(self, query: str) -> str:
        """Return the zone of the client, empty if the query has none."""
        return parse_qs(query).get("zone", [""])[0]

    def directory_answer(self, addresses: tuple[str, ...], ttl_s: float) -> bytes:
        """Return addresses of entries as JSON, to be cached for ``ttl_s`` seconds."""
        return json.dumps({"addresses": list(addresses), "ttlS": ttl_s}).encode()


def make_platform_pages() -> PlatformPages:
    """Return the paths and the codec of the platform's pages."""
    return PlatformPages()
