"""Removes records from the request journal after the declared retention time."""

from pollencleat.backend.connection import BackendStatementError
from pollencleat.callers.gateway import Gateway, unix_time_s
from pollencleat.core.data import Customer
from pollencleat.core.errors import BackendError, CallerError
from pollencleat.core.index import rank_members
from pollencleat.journal.requests import prune_sql

PRUNE_INTERVAL_S = 60.0
PRUNING_CUSTOMER = Customer("pollencleat", (), 1)


class JournalPruner:
    """Prunes the request journals of the groups that this node is responsible for.

    Rendezvous hashing over the fleet's members chooses one member for each group.
    """

    def __init__(self, gateway: Gateway) -> None:
        """Prune over connections of the gateway's pools."""
        self._gateway = gateway
        self._pruned_at_s: dict[str, float] = {}

    def tick(self) -> None:
        """Start pruning each group whose interval has passed."""
        gateway = self._gateway
        now_s = gateway.clock()
        for group_id in gateway.board.inventory.groups_by_id:
            last_pruned_at_s = self._pruned_at_s.setdefault(group_id, now_s)
            if now_s - last_pruned_at_s < PRUNE_INTERVAL_S or not self._is_responsible(
                group_id
            ):
                continue
            self._pruned_at_s[group_id] = now_s
            gateway.pools.start_background_task(self._prune(group_id))

    def _is_responsible(self, group_id: str) -> bool:
        board = self._gateway.board
        members = list(board.fleet.members_by_id.values())
        ranked = rank_members(f"prune\0{group_id}", members)
        return bool(ranked) and ranked[0].node_id == board.node_id

    async def _prune(self, group_id: str) -> None:
        gateway = self._gateway
        retention_s = gateway.board.inventory.rules.request_retention_s
        lease = None
        reusable = False
        try:
            term = gateway.require_writable(group_id)
            lease = await gateway.borrow(
                term.primary, PRUNING_CUSTOMER, term.term, gateway.queue_deadline_s()
            )
            await lease.connection.run(prune_sql(unix_time_s() - retention_s))
            reusable = True
            gateway.metrics.count("journal_pruned", group_id)
        except BackendStatementError:
            # The first request creates the journal table; until then the DELETE fails.
            reusable = True
        except (BackendError, CallerError):
            gateway.metrics.count("journal_prune_failed", group_id)
        finally:
            if lease is not None:
                lease.release(reusable)
