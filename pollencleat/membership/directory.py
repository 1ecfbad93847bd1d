"""Servers that registered themselves, and what their entries mean.

An entry lapses when its server has been silent, but also while the platform's store is
away.  A server whose entry is missing after the store's return is kept for a while, in
which a live server registers again; after that it counts as gone.
"""

from collections.abc import Callable

import structlog

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import BackendServer, VmList

RETURN_S = 2.0
"""Time after the store's return within which live servers are registered again; from
the platform's description."""

LAPSED_KEPT = 8
"""Lapsed servers of a group that are remembered besides the newest."""

log = structlog.get_logger()


class ServerDirectory:
    """Decides which registered servers count, and puts them on the blackboard."""

    def __init__(self, board: Blackboard, clock: Callable[[], float]) -> None:
        """Work on a blackboard."""
        self._board = board
        self._clock = clock
        self._servers_by_id: dict[str, BackendServer] = {}
        self._leaving: set[str] = set()
        self._lapsed_by_group: dict[str, tuple[BackendServer, ...]] = {}
        self._missing_since_s: dict[str, float] = {}
        self._is_away = False
        self._returned_at_s = -1e9
        self._changed_revision = 0

    def note_contact(self, answers: bool) -> None:
        """Take in whether the store answered.

        Args:
            answers: False after a call that failed.
        """
        if not answers:
            self._is_away = True
            return
        now_s = self._clock()
        if self._is_away:
            self._is_away = False
            self._returned_at_s = now_s
        self._drop_missing(now_s)

    def replace_all(
        self, entries: dict[str, tuple[BackendServer, bool]], revision: int
    ) -> None:
        """Take over a complete list.

        Args:
            entries: Server and whether it is leaving, by server id.
            revision: Revision of the store that the list shows.
        """
        for server, leaving in entries.values():
            self.update(server, leaving, revision)
        for server_id in list(self._servers_by_id):
            if server_id not in entries:
                self.remove(server_id, revision)
        self.publish(revision)

    def update(self, server: BackendServer, leaving: bool, revision: int) -> None:
        """Take in an entry.

        Args:
            server: As it describes itself.
            leaving: It is about to end.
            revision: Revision of the change.
        """
        server_id = server.server_id
        self._missing_since_s.pop(server_id, None)
        self._forget_lapse(server)
        known = self._servers_by_id.get(server_id)
        if known == server and (server_id in self._leaving) == leaving:
            return
        if known is not None and known.born_ms != server.born_ms:
            self._board.servers_by_id.pop(server_id, None)
        self._servers_by_id[server_id] = server
        self._leaving.discard(server_id)
        if leaving:
            self._leaving.add(server_id)
        self._changed_revision = max(self._changed_revision, revision)
        log.info(
            "server registered",
            server=server_id,
            group=server.group_id,
            address=f"{server.host}:{server.port}",
            leaving=leaving,
            born_ms=server.born_ms,
            revision=revision,
        )

    def _forget_lapse(self, server: BackendServer) -> None:
        """Forget lapsed servers that returned, or whose address has a new owner."""
        for group_id, lapsed in self._lapsed_by_group.items():
            self._lapsed_by_group[group_id] = tuple(
                known
                for known in lapsed
                if known.server_id != server.server_id
                and (known.host, known.port) != (server.host, server.port)
            )

    def remove(self, server_id: str, revision: int) -> None:
        """Take in that an entry is gone.

        Args:
            server_id: The server.
            revision: Revision of the change.
        """
        if server_id not in self._servers_by_id:
            return
        now_s = self._clock()
        if self._is_away or now_s - self._returned_at_s < RETURN_S:
            self._missing_since_s.setdefault(server_id, now_s)
            return
        self._drop(server_id, revision)

    def _drop(self, server_id: str, revision: int) -> None:
        server = self._servers_by_id.pop(server_id)
        self._missing_since_s.pop(server_id, None)
        if server_id in self._leaving:
            self._leaving.discard(server_id)
        else:
            lapsed = self._lapsed_by_group.get(server.group_id, ())
            self._lapsed_by_group[server.group_id] = (*lapsed[-LAPSED_KEPT:], server)
        self._changed_revision = max(self._changed_revision, revision)
        log.info("server gone", server=server_id, revision=revision)

    def _drop_missing(self, now_s: float) -> None:
        if not self._missing_since_s or now_s - self._returned_at_s < RETURN_S:
            return
        for server_id in list(self._missing_since_s):
            self._drop(server_id, self._changed_revision + 1)
        self.publish(self._changed_revision)

    def publish(self, revision: int) -> None:
        """Put the servers on the blackboard if they changed.

        Args:
            revision: Revision of the store up to which changes were taken in.
        """
        if self._changed_revision <= self._board.vms.version:
            return
        self._board.adopt_vms(
            VmList(
                self._changed_revision,
                None,
                tuple(sorted(self._leaving)),
                dict(self._servers_by_id),
                {
                    group_id: tuple(server.server_id for server in lapsed)
                    for group_id, lapsed in self._lapsed_by_group.items()
                },
            )
        )
