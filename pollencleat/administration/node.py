"""What the administration API needs of the node that it serves."""

from dataclasses import dataclass
from typing import Protocol

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.timers import TimerService
from pollencleat.reports.metrics import Metrics
from pollencleat.store.client import StoreClient


@dataclass(frozen=True, slots=True)
class AdminToken:
    """A bearer token of the administration API and its roles."""

    name: str
    token: str
    roles: frozenset[str]


class ConnectionCounts(Protocol):
    """Counts the connections to backend servers."""

    def open_connections(self) -> dict[str, int]:
        """Return the number of open connections by server id."""


class AdministeredNode(Protocol):
    """The parts of a node that operations of the API read and change."""

    board: Blackboard
    timers: TimerService
    metrics: Metrics
    store: StoreClient
    gateway: ConnectionCounts
