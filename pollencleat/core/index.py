"""Order and digests of members, derived once for each fleet state."""

from dataclasses import dataclass, field

import xxhash

from pollencleat.core.data import Fleet, Member


def rank_members(key: str, members: list[Member]) -> list[Member]:
    """Order members by rendezvous hash.

    Args:
        key: What a member is chosen for.
        members: Candidates.

    Returns:
        The candidates, the first choice first.
    """
    by_id = {member.node_id: member for member in members}
    return [by_id[node_id] for node_id in rank_names(key, list(by_id))]


def rank_names(key: str, names: list[str]) -> list[str]:
    """Order names by rendezvous hash.

    Args:
        key: What a name is chosen for.
        names: Candidates.

    Returns:
        The candidates, the first choice first.
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f"{key}\0{name}".encode()),
        reverse=True,
    )


@dataclass(frozen=True, slots=True)
class FleetIndex:
    """What is derived from a fleet state's members.

    Attributes:
        members_by_domain: Members of each failure domain, first choice of relay first.
        keys_by_domain: A digest for each that is equal only for equal sets of
            incarnations.
        ranked_by_key: Members of each failure domain in the order of a key, as far as
            somebody has asked for it.
    """

    members_by_domain: dict[str, tuple[Member, ...]]
    keys_by_domain: dict[str, int]
    ranked_by_key: dict[str, dict[str, tuple[Member, ...]]] = field(
        default_factory=dict
    )

    def ranked(self, key: str) -> dict[str, tuple[Member, ...]]:
        """Return the members of each failure domain by rendezvous hash.

        Args:
            key: What members are chosen for.

        Returns:
            Members by failure domain, the first choice first.
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
    """Derive the index of a fleet state.

    Args:
        fleet: A fleet state.

    Returns:
        The index.
    """
    listed_by_domain: dict[str, list[Member]] = {}
    for member in fleet.members_by_id.values():
        listed_by_domain.setdefault(member.failure_domain, []).append(member)
    members = {
        domain: tuple(rank_members(domain, listed))
        for domain, listed in listed_by_domain.items()
    }
    keys = {domain: make_members_key(listed) for domain, listed in members.items()}
    return FleetIndex(members, keys)


def make_members_key(members: tuple[Member, ...]) -> int:
    """Return a digest that is equal only for equal sets of incarnations.

    Args:
        members: Members of one failure domain.

    Returns:
        A 64-bit digest.
    """
    names = sorted(f"{member.node_id}\0{member.incarnation}" for member in members)
    return xxhash.xxh64_intdigest("\n".join(names).encode())
