"""Generated manifests and members of any size."""

from dotterelpier.model.membership import Member

SERVER_TOML = """
[[backend_servers]]
id = "catalogue-{number:03}"
service = "service-{service}"
address = "127.21.{high}.{low}:8080"
zone = "north-{zone}"
slots = 4
cold_slots = 1
"""


def manifest_text(servers: int, services: int = 37, zones: int = 8) -> str:
    """Return a manifest as TOML, with its servers spread over services and zones."""
    parts = ['tenant = "planned"\n']
    for zone in range(zones):
        parts.append(f'\n[[zones]]\nname = "north-{zone}"\nregion = "north"\n')
    for service in range(services):
        parts.append(f'\n[[services]]\nname = "service-{service}"\ndeadline_s = 2.0\n')
    for number in range(servers):
        parts.append(
            SERVER_TOML.format(
                number=number,
                service=number % services,
                high=number // 250 + 1,
                low=number % 250 + 1,
                zone=number % zones,
            )
        )
    return "".join(parts)


def make_members(count: int) -> dict[str, Member]:
    """Return members by id, spread over eight zones."""
    return {
        f"entry-{number}.{number:08x}": Member(
            f"entry-{number}.{number:08x}",
            f"north-{number % 8}",
            f"10.0.{number // 250}.{number % 250}:8000",
            f"10.0.{number // 250}.{number % 250}:8001",
            f"10.0.{number // 250}.{number % 250}:8002",
        )
        for number in range(count)
    }
