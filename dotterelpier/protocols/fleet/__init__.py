"""Protocols of the services of an entry in a fleet."""

from dotterelpier.protocols.fleet.requests import (
    EntryDirectory,
    Forwarding,
    HeaderCodec,
    HealthConnection,
    InstanceExchange,
    Instances,
    Pages,
    PlannedStop,
    RetryBudget,
)
from dotterelpier.protocols.fleet.state import (
    Choice,
    Conditions,
    DatagramKind,
    Datagrams,
    Fleet,
    FleetPeers,
    Measurements,
    Registry,
    Routes,
    Subsets,
)
from dotterelpier.protocols.fleet.store import (
    Codec,
    Mirrors,
    RowStore,
    StoreLink,
    Stores,
)

__all__ = [
    "Choice",
    "Codec",
    "Conditions",
    "DatagramKind",
    "Datagrams",
    "EntryDirectory",
    "Fleet",
    "FleetPeers",
    "Forwarding",
    "HeaderCodec",
    "HealthConnection",
    "InstanceExchange",
    "Instances",
    "Measurements",
    "Mirrors",
    "Pages",
    "PlannedStop",
    "Registry",
    "RetryBudget",
    "Routes",
    "RowStore",
    "StoreLink",
    "Stores",
    "Subsets",
]
