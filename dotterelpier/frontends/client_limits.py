"""What clients may take together, derived from the settings of a process."""

import os
import resource

from dotterelpier.fleet_settings import FleetLimitSettings
from dotterelpier.frontends.client_accounts import CONNECTION_BYTES
from dotterelpier.frontends.client_memory import make_client_memory
from dotterelpier.frontends.client_policy import ClientResources
from dotterelpier.kernel import Kernel
from dotterelpier.protocols import ClientMemory, Clock, Metrics, ServiceName, Timer
from dotterelpier.settings import LimitSettings

# What the process takes without clients: modules, threads, tables of a large fleet.
PROCESS_BYTES = 80e6
# Share of the rest that may be held for clients. What is left covers copies that live
# for a moment and memory that the allocator keeps.
CLIENT_SHARE = 0.6
# Least share of all memory, where the settings leave too little.
MIN_CLIENT_SHARE = 0.1
# Share of the memory for clients that connections may take.
CONNECTION_MEMORY_SHARE = 0.25
# Share of the free descriptors that connections of clients, and gRPC connections of
# other entries, may take. The others are for connections that this process opens.
DESCRIPTOR_SHARE = 0.625
PEER_DESCRIPTOR_SHARE = 0.125
MIN_CONNECTIONS = 16


def derive_resources(
    settings: FleetLimitSettings | LimitSettings, free_descriptors: int
) -> ClientResources:
    """Return what clients may take.

    Parameters
    ----------
    settings : FleetLimitSettings or LimitSettings
        Limits in the settings of the process.
    free_descriptors : int
        Descriptors that the process may still open.
    """
    total_bytes = settings.memory_mb * 1e6
    spare_bytes = (total_bytes - PROCESS_BYTES) * CLIENT_SHARE
    memory_bytes = max(spare_bytes, total_bytes * MIN_CLIENT_SHARE)
    connections = min(
        settings.connections,
        int(free_descriptors * DESCRIPTOR_SHARE),
        int(memory_bytes * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES),
    )
    return ClientResources(
        memory_bytes,
        max(connections, MIN_CONNECTIONS),
        settings.read_bytes_per_s,
        settings.stall_s,
        settings.stalled_max_s,
    )


def derive_peer_connections(free: int) -> int:
    """Return how many gRPC connections other entries may open."""
    return max(int(free * PEER_DESCRIPTOR_SHARE), MIN_CONNECTIONS)


def free_descriptors(settings: FleetLimitSettings | LimitSettings) -> int:
    """Return how many descriptors the process may still open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [item for item in (settings.descriptors, limit) if item > 0]
    return min(limits, default=1 << 20) - len(os.listdir("/proc/self/fd"))


def make_limited_client_memory(
    kernel: Kernel, settings: FleetLimitSettings | LimitSettings
) -> ClientMemory:
    """Return the memory for clients within the limits of the settings."""
    return make_client_memory(
        derive_resources(settings, free_descriptors(settings)),
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.METRICS, Metrics),
        kernel.find(ServiceName.TIMER, Timer),
    )
