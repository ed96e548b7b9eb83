"""Requests that may get a second attempt while the first one runs."""

from attrs import frozen

from dotterelpier.model.route import Route


@frozen
class HedgeCandidate:
    """An idempotent request whose attempt takes long, or is expected to.

    Attributes
    ----------
    service : str
        Service of the request.
    route : Route
        Route of the request.
    peer : str
        Id of the backend server of the attempt.
    arrived_at, sent_at : float
        When the request arrived and when the attempt was sent, on the monotonic clock,
        in seconds.
    """

    service: str
    route: Route
    peer: str
    arrived_at: float
    sent_at: float
