"""Protocols of the services of a fleet's entry."""

from dotterelpier.protocols.fleet.knowledge import (
    Choice,
    Conditions,
    Datagrams,
    Fleet,
    FleetPeers,
    Measurements,
    Registry,
    Routes,
)
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
from dotterelpier.protocols.fleet.store import Codec, RowStore, StoreLink, Stores

__all__ = [
    "Choice",
    "Codec",
    "Conditions",
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
    "Pages",
    "PlannedStop",
    "Registry",
    "RetryBudget",
    "Routes",
    "RowStore",
    "StoreLink",
    "Stores",
]
