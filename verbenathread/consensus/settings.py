"""Settings and status of a replica."""

from typing import NamedTuple

from verbenathread.types import Address, Millis, Peer


class ReplicaSettings(NamedTuple):
    """How one replica takes part in its group."""

    local_peer: Peer
    cluster: str
    # The voters that form the group; used only by an empty store.
    initial_members: tuple[Peer, ...]
    # Wait to be added to a group instead of forming one.
    join: bool = False
    # Silence of the leader after which a voter may stand for election; the
    # wait is drawn anew each time, up to twice as long.
    election_timeout: Millis = 1000
    heartbeat: Millis = 200
    # Records on the log after which a snapshot is taken.
    snapshot_records: int = 1000
    # Most bytes of entries in one message or one append.
    batch_bytes: int = 0x100000
    # Bytes of a snapshot in one message.
    chunk_bytes: int = 0x40000
    # Most proposals that wait for the log.
    queue_limit: int = 4096


class MemberState(NamedTuple):
    """One member as the leader sees it."""

    node_id: str
    address: Address
    voter: bool
    # Synced up to here; on a replica that does not lead, only its own.
    match_index: int
    store_id: str


class ReplicaStatus(NamedTuple):
    """What one replica knows of its group."""

    # Node id of the leader, empty when none is known.
    leader: str
    leader_address: str
    # True only while a quorum was heard within an election timeout.
    is_leader: bool
    term: int
    commit_index: int
    applied_index: int
    members: tuple[MemberState, ...]
    # Syncs of the storage since the start.
    sync_count: int
    # Why the replica stopped by itself; empty while it runs.
    failure: str
    # This replica, and the identity of its data folder once it was loaded.
    node_id: str = ''
    store_id: str = ''
