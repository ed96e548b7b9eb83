"""Protocols by which services use each other.

Services register with the kernel under the names in ``ServiceName``. Other services
find them there and use them through these protocols; no service imports the module
of another.
"""

from dotterelpier.protocols.admission import (
    Admission,
    Evidence,
    Policy,
    ProbeLimiter,
    ServerPolicy,
)
from dotterelpier.protocols.call_path import (
    Backends,
    Calls,
    Claims,
    Directory,
    Exchange,
    Pulling,
    Relays,
    Routing,
)
from dotterelpier.protocols.client_memory import ClientMemory, RequestMemory
from dotterelpier.protocols.control import (
    Drain,
    Homes,
    ManifestSource,
    Membership,
    Peers,
    Status,
    StoppableFrontend,
)
from dotterelpier.protocols.foundations import (
    Audit,
    Cancellable,
    Clock,
    Metrics,
    Objects,
    Subscription,
    Table,
    Tasks,
    Timer,
    Vms,
)
from dotterelpier.protocols.names import ServiceName, TaskKind

__all__ = [
    "Admission",
    "Audit",
    "Backends",
    "Calls",
    "Cancellable",
    "Claims",
    "ClientMemory",
    "Clock",
    "Directory",
    "Drain",
    "Evidence",
    "Exchange",
    "Homes",
    "ManifestSource",
    "Membership",
    "Metrics",
    "Objects",
    "Peers",
    "Policy",
    "ProbeLimiter",
    "Pulling",
    "Relays",
    "RequestMemory",
    "Routing",
    "ServerPolicy",
    "ServiceName",
    "Status",
    "StoppableFrontend",
    "Subscription",
    "Table",
    "TaskKind",
    "Tasks",
    "Timer",
    "Vms",
]
