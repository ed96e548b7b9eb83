"""Names of services and kinds of tasks."""

from enum import Enum


class ServiceName(str, Enum):
    """Names under which services register with the kernel."""

    CLOCK = "clock"
    TIMER = "timer"
    TASKS = "tasks"
    TABLE = "table"
    OBJECTS = "objects"
    VMS = "vms"
    METRICS = "metrics"
    AUDIT = "audit"
    MANIFEST = "manifest"
    MEMBERSHIP = "membership"
    PEERS = "peers"
    HOMES = "homes"
    EVIDENCE = "evidence"
    ADMISSION = "admission"
    ROUTING = "routing"
    PULLING = "pulling"
    BACKENDS = "backends"
    RELAYS = "relays"
    CLAIMS = "claims"
    CLAIM_SWEEPER = "claim_sweeper"
    CALLS = "calls"
    DIRECTORY = "directory"
    DRAIN = "drain"
    STATUS = "status"
    CALLER_FRONTEND = "caller_frontend"
    RELAY_FRONTEND = "relay_frontend"
    PEER_FRONTEND = "peer_frontend"
    OPERATOR_FRONTEND = "operator_frontend"


class TaskKind(str, Enum):
    """Kinds of tasks, each with an executor of its own."""

    TIMER = "timer"
    CONTROL = "control"
    PEER = "peer"
    OFFER = "offer"
    HANDOVER = "handover"
    MEASURE = "measure"
    BACKEND_CONNECTION = "backend_connection"
    RELAY_CONNECTION = "relay_connection"
    FRONTEND = "frontend"
