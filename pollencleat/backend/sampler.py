"""Samples the status of backend servers, periodically and on demand."""

import asyncio
from collections.abc import Callable

from pollencleat.backend.monitor import ServerMonitor
from pollencleat.core.blackboard import Blackboard
from pollencleat.core.errors import BackendError, BackendRefusedError
from pollencleat.limits.shares import connections_allowed
from pollencleat.routing.accounting import PrimaryReadClassifier
from pollencleat.routing.freshness import record_status, record_status_failure

GROUP_IN_USE_S = 2.0
"""A group counts as in use for this long after its latest statement."""

IDLE_GROUP_SAMPLE_ROUNDS = 3
"""Groups that are not in use are sampled once in this many rounds."""


class ServerSampler:
    """Keeps the blackboard's views of servers up to date."""

    def __init__(
        self,
        board: Blackboard,
        monitors_by_server: dict[str, ServerMonitor],
        account: PrimaryReadClassifier,
        clock: Callable[[], float],
    ) -> None:
        """Use the given monitors; the mapping is shared with the gateway."""
        self._board = board
        self._monitors_by_server = monitors_by_server
        self._account = account
        self._clock = clock
        self._tasks_by_server: dict[str, asyncio.Task] = {}
        self._used_at_s: dict[str, float] = {}
        self._sample_round = 0

    def note_use(self, group_id: str) -> None:
        """Sample a group in every round for a while.

        Args:
            group_id: A group for which a statement arrived.
        """
        self._used_at_s[group_id] = self._clock()

    def sample(self, server_id: str) -> asyncio.Task:
        """Request a server's status, or join a request in progress.

        Args:
            server_id: A declared server.

        Returns:
            A task that is done when the blackboard has been updated.
        """
        task = self._tasks_by_server.get(server_id)
        if task is None or task.done():
            task = asyncio.get_running_loop().create_task(self._sample(server_id))
            self._tasks_by_server[server_id] = task
        return task

    async def _sample(self, server_id: str) -> None:
        if connections_allowed(self._board, server_id) < 1:
            return
        monitor = self._monitors_by_server.get(server_id)
        if monitor is None:
            return
        sent_at_s = self._clock()
        try:
            status = await monitor.read_status()
        except BackendRefusedError:
            record_status_failure(self._board, server_id, True, self._clock())
        except BackendError:
            record_status_failure(self._board, server_id, False, self._clock())
        else:
            record_status(self._board, server_id, status, sent_at_s, self._clock())
            group_id = monitor.server.group_id
            self._account.add_report(group_id, server_id, status.position, sent_at_s)

    def sample_all(self) -> None:
        """Start a sampling round.

        Groups that are not in use are sampled in every third call only.
        """
        self._sample_round += 1
        includes_idle_groups = self._sample_round % IDLE_GROUP_SAMPLE_ROUNDS == 0
        now_s = self._clock()
        for group_id, group in self._board.inventory.groups_by_id.items():
            used_at_s = self._used_at_s.get(group_id, -1e9)
            if now_s - used_at_s > GROUP_IN_USE_S and not includes_idle_groups:
                continue
            for server_id in group.server_ids:
                self.sample(server_id)
