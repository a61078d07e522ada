"""Group membership and quorums.

A member is identified by its node id and by the store (the data folder) that
it had when it was added. A node that lost its disk has a new store, so its
votes and its log are ignored until it is added again.
"""

from collections.abc import Collection, Iterable

from verbenathread.schema.consensus_pb2 import LogMember, LogMembers
from verbenathread.types import Address, Peer


def members_of(peers: Iterable[Peer]) -> LogMembers:
    """Return initial members, whose stores are not yet known."""
    members = LogMembers()
    for peer in peers:
        members.members.append(member_of(peer, voter=True, store_id=''))
    return members


def member_of(peer: Peer, *, voter: bool, store_id: str) -> LogMember:
    """Return a member at the address of ``peer``."""
    return LogMember(
        node_id=peer.node_id,
        host=peer.address.host,
        port=peer.address.port,
        voter=voter,
        store_id=store_id,
    )


def peer_of(member: LogMember) -> Peer:
    """Return the peer for a member."""
    return Peer(member.node_id, Address(member.host, member.port))


def find(members: LogMembers, node_id: str) -> LogMember | None:
    """Return the member with ``node_id``, or None."""
    for member in members.members:
        if member.node_id == node_id:
            return member
    return None


def voters(members: LogMembers) -> list[LogMember]:
    """Return the voting members."""
    return [member for member in members.members if member.voter]


def is_formed(members: LogMembers) -> bool:
    """Return whether every voter's store is recorded."""
    return all(member.store_id for member in voters(members))


def quorum_size(members: LogMembers) -> int:
    """Return how many voters must agree.

    Forming a group requires all of its initial voters. This records the store
    of each one, so that a voter that loses its disk later can't take part
    with a new store under its old name.
    """
    count = len(voters(members))
    if not is_formed(members):
        return count
    return count // 2 + 1


def is_quorum(members: LogMembers, node_ids: Collection[str]) -> bool:
    """Return whether ``node_ids`` contain a quorum of the voters."""
    agreed = 0
    for member in voters(members):
        if member.node_id in node_ids:
            agreed += 1
    return agreed > 0 and agreed >= quorum_size(members)


def with_stores(members: LogMembers, store_by_id: dict[str, str]) -> LogMembers:
    """Return the members with their stores recorded."""
    changed = LogMembers()
    changed.CopyFrom(members)
    for member in changed.members:
        member.store_id = store_by_id[member.node_id]
    return changed


def with_learner(members: LogMembers, learner: LogMember) -> LogMembers:
    """Return the members plus a non-voting one."""
    changed = LogMembers()
    changed.CopyFrom(members)
    changed.members.append(learner)
    return changed


def with_voter(members: LogMembers, node_id: str) -> LogMembers:
    """Return the members with ``node_id`` made a voter."""
    changed = LogMembers()
    changed.CopyFrom(members)
    for member in changed.members:
        if member.node_id == node_id:
            member.voter = True
    return changed


def without(members: LogMembers, node_id: str) -> LogMembers:
    """Return the members except ``node_id``."""
    changed = LogMembers()
    for member in members.members:
        if member.node_id != node_id:
            changed.members.append(member)
    return changed
