"""Rendezvous ranking and digests of the members, computed once for each fleet state."""

from dataclasses import dataclass, field

import xxhash

from pollencleat.core.data import Fleet, Member


def rank_members(key: str, members: list[Member]) -> list[Member]:
    """Rank members by rendezvous hash, so that all nodes choose the same one.

    Args:
        key: Hash seed; names the purpose for which a member is chosen.
        members: Candidates.

    Returns:
        The candidates in order of preference.
    """
    by_id = {member.node_id: member for member in members}
    return [by_id[node_id] for node_id in rank_names(key, list(by_id))]


def rank_names(key: str, names: list[str]) -> list[str]:
    """Rank names by rendezvous hash, so that all nodes choose the same one.

    Args:
        key: Hash seed; names the purpose for which a name is chosen.
        names: Candidates.

    Returns:
        The candidates in order of preference.
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f"{key}\0{name}".encode()),
        reverse=True,
    )


@dataclass(frozen=True, slots=True)
class FleetIndex:
    """Values derived from the members of a fleet state.

    Attributes:
        members_by_domain: Members of each failure domain, in order of preference as
            its relay.
        members_keys_by_domain: Digest of the members of each failure domain; differs
            for different sets of incarnations.
        ranked_by_key: Cached rankings of the members of each failure domain, by hash
            seed.
    """

    members_by_domain: dict[str, tuple[Member, ...]]
    members_keys_by_domain: dict[str, int]
    ranked_by_key: dict[str, dict[str, tuple[Member, ...]]] = field(
        default_factory=dict
    )

    def ranked_by_domain(self, key: str) -> dict[str, tuple[Member, ...]]:
        """Return the members of each failure domain, ranked by rendezvous hash.

        Args:
            key: Hash seed; names the purpose for which members are chosen.

        Returns:
            Members by failure domain, in order of preference.
        """
        ranked = self.ranked_by_key.get(key)
        if ranked is None:
            ranked = {
                domain: tuple(rank_members(key, list(members)))
                for domain, members in self.members_by_domain.items()
            }
            self.ranked_by_key[key] = ranked
        return ranked


def make_fleet_index(fleet: Fleet) -> FleetIndex:
    """Compute the index of a fleet state.

    Args:
        fleet: A fleet state.

    Returns:
        The index, without any cached ranking.
    """
    unranked_by_domain: dict[str, list[Member]] = {}
    for member in fleet.members_by_id.values():
        unranked_by_domain.setdefault(member.failure_domain, []).append(member)
    members_by_domain = {
        domain: tuple(rank_members(domain, unranked))
        for domain, unranked in unranked_by_domain.items()
    }
    members_keys_by_domain = {
        domain: make_members_key(ranked) for domain, ranked in members_by_domain.items()
    }
    return FleetIndex(members_by_domain, members_keys_by_domain)


def make_members_key(members: tuple[Member, ...]) -> int:
    """Return a digest that differs for different sets of incarnations.

    Args:
        members: Members of one failure domain.

    Returns:
        A 64-bit digest.
    """
    names = sorted(f"{member.node_id}\0{member.incarnation}" for member in members)
    return xxhash.xxh64_intdigest("\n".join(names).encode())
