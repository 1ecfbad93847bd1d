"""Directory of the backend servers that registered themselves in the platform's store.

An entry expires if its server does not renew it, but also while the store is
unavailable.  A server whose entry is missing after a store outage is therefore kept for
a grace period in which a live server registers again, and is removed afterwards.

A server is called lapsed if its entry disappeared although it had not announced that it
was leaving.
"""

import math
from collections.abc import Callable
from dataclasses import replace

import structlog

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.constants import REREGISTRATION_GRACE_S
from pollencleat.core.data import BackendServer, VmList
from pollencleat.core.versions import era_of

LONG_AGO_S = -1e9
"""Local time before every event."""

MAX_OLDER_LAPSED = 8
"""Lapsed servers kept per group in addition to the newest."""

log = structlog.get_logger()


class ServerDirectory:
    """Tracks registered servers and publishes them on the blackboard."""

    def __init__(self, board: Blackboard, clock: Callable[[], float]) -> None:
        """Create an empty directory.

        Args:
            board: The node's state, which the list of servers is published to.
            clock: Returns the local time in seconds.
        """
        self._board = board
        self._clock = clock
        self._servers_by_id: dict[str, BackendServer] = {}
        self._leaving: set[str] = set()
        self._seen: set[str] = set()
        self._lapsed_by_group: dict[str, tuple[BackendServer, ...]] = {}
        self._missing_since_s: dict[str, float] = {}
        self._is_store_unreachable = False
        self._store_returned_at_s = -1e9
        self._changed_revision = 0

    def record_call_result(self, succeeded: bool) -> None:
        """Record whether a call to the store succeeded.

        Args:
            succeeded: False after a failed call.
        """
        if not succeeded:
            self._is_store_unreachable = True
            self._board.servers_complete_at_s = math.inf
            return
        now_s = self._clock()
        if self._is_store_unreachable:
            self._is_store_unreachable = False
            self._note_store_returned(now_s)
        self._remove_missing(now_s)

    def _note_store_returned(self, now_s: float) -> None:
        self._store_returned_at_s = now_s
        self._board.servers_complete_at_s = now_s + REREGISTRATION_GRACE_S

    def replace_all(
        self, entries: dict[str, tuple[BackendServer, bool]], revision: int
    ) -> None:
        """Replace the directory by a complete list and publish it.

        Args:
            entries: Server and whether it is leaving, by server id.
            revision: Store revision of the list.
        """
        if era_of(revision) != era_of(self._changed_revision):
            # The store was restored: entries of the time since its copy are missing
            # until the servers have written them again.
            self._note_store_returned(self._clock())
        for server, leaving in entries.values():
            self.update(server, leaving, revision)
        for server_id in list(self._servers_by_id):
            if server_id not in entries:
                self.remove(server_id, revision)
        self.publish(revision)

    def update(self, server: BackendServer, leaving: bool, revision: int) -> None:
        """Add or update a server's entry.

        Args:
            server: The server as described in its entry.
            leaving: Whether the server has announced that it is shutting down.
            revision: Store revision of the change.
        """
        server_id = server.server_id
        self._missing_since_s.pop(server_id, None)
        self._seen.add(server_id)
        self._discard_lapsed(server)
        known = self._servers_by_id.get(server_id)
        if known == server and (server_id in self._leaving) == leaving:
            return
        if known is not None and known.born_ms != server.born_ms:
            self._board.servers_by_id.pop(server_id, None)
        self._servers_by_id[server_id] = server
        self._set_leaving(server_id, leaving, known is None)
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

    def _set_leaving(self, server_id: str, leaving: bool, is_new: bool) -> None:
        """Note whether a server is leaving, and since when this node knows it."""
        since_by_server = self._board.leaving_since_by_server
        if not leaving:
            self._leaving.discard(server_id)
            since_by_server.pop(server_id, None)
            return
        self._leaving.add(server_id)
        # It may have announced this long before its entry was read first.
        since_s = LONG_AGO_S if is_new else self._clock()
        since_by_server.setdefault(server_id, since_s)

    def _discard_lapsed(self, server: BackendServer) -> None:
        """Discard lapsed servers with the id or the address of a registered server.

        They have returned, or cannot return because their address is in use again.
        What their logs may have held is tracked in routing/departed_logs.py.
        """
        for group_id, lapsed in self._lapsed_by_group.items():
            self._lapsed_by_group[group_id] = tuple(
                known
                for known in lapsed
                if known.server_id != server.server_id
                and (known.host, known.port) != (server.host, server.port)
            )

    def remove(self, server_id: str, revision: int) -> None:
        """Remove a server whose entry disappeared, after a grace period if needed.

        Args:
            server_id: The server.
            revision: Store revision of the change.
        """
        if server_id not in self._servers_by_id:
            return
        now_s = self._clock()
        if (
            self._is_store_unreachable
            or now_s - self._store_returned_at_s < REREGISTRATION_GRACE_S
        ):
            self._missing_since_s.setdefault(server_id, now_s)
            return
        self._remove_server(server_id, revision)

    def _remove_server(self, server_id: str, revision: int) -> None:
        server = self._servers_by_id.pop(server_id)
        self._missing_since_s.pop(server_id, None)
        if server_id in self._leaving:
            self._set_leaving(server_id, False, False)
        else:
            lapsed = self._lapsed_by_group.get(server.group_id, ())
            self._lapsed_by_group[server.group_id] = (
                *lapsed[-MAX_OLDER_LAPSED:],
                server,
            )
        self._changed_revision = max(self._changed_revision, revision)
        log.info("server gone", server=server_id, revision=revision)

    def _remove_missing(self, now_s: float) -> None:
        if (
            not self._missing_since_s
            or now_s - self._store_returned_at_s < REREGISTRATION_GRACE_S
        ):
            return
        for server_id in list(self._missing_since_s):
            self._remove_server(server_id, self._changed_revision + 1)
        self.publish(self._changed_revision)

    def publish(self, revision: int) -> None:
        """Publish the servers on the blackboard if they changed.

        Args:
            revision: Unused; the revision of the newest change is published.
        """
        lapsed_by_group = {
            group_id: tuple(server.server_id for server in lapsed)
            for group_id, lapsed in self._lapsed_by_group.items()
        }
        if self._changed_revision == self._board.vms.version:
            self._correct_lapsed(lapsed_by_group)
        if self._changed_revision <= self._board.vms.version:
            return
        self._board.adopt_vms(
            VmList(
                self._changed_revision,
                None,
                tuple(sorted(self._leaving)),
                dict(self._servers_by_id),
                lapsed_by_group,
            )
        )

    def _correct_lapsed(self, lapsed_by_group: dict[str, tuple[str, ...]]) -> None:
        """Correct the lapsed servers of a published list of the same revision.

        It came from a peer. What it says of servers that this node has never seen
        registered is kept.
        """
        vms = self._board.vms
        merged = dict(lapsed_by_group)
        for group_id, ids in vms.lapsed_by_group.items():
            unseen = [server_id for server_id in ids if server_id not in self._seen]
            merged[group_id] = (*merged.get(group_id, ()), *unseen)
        merged = {group_id: ids for group_id, ids in merged.items() if ids}
        if merged != vms.lapsed_by_group:
            self._board.vms = replace(vms, lapsed_by_group=merged)
