"""Settings and status of a replica."""

from typing import NamedTuple

from verbenathread.types import Address, Millis, Peer


class ReplicaSettings(NamedTuple):
    """Configuration of one replica."""

    local_peer: Peer
    cluster: str
    # Voters that form the group; used only with an empty store.
    initial_members: tuple[Peer, ...]
    # Wait to be added to a group instead of forming one.
    join: bool = False
    # Time without contact to the leader after which a voter may start an
    # election. Each wait is randomized between this value and twice it.
    election_timeout: Millis = 1000
    heartbeat: Millis = 200
    # Applied entries that stay in the log when a snapshot is taken, which
    # happens once the log holds twice as many.
    snapshot_records: int = 1000
    # Approximate size limit in bytes of the entries in one message or append.
    batch_bytes: int = 0x100000
    # Bytes of a snapshot sent in one message.
    chunk_bytes: int = 0x40000
    # Maximum number of proposals waiting to be appended.
    queue_limit: int = 4096


class MemberState(NamedTuple):
    """Replication state of one member."""

    node_id: str
    address: Address
    voter: bool
    # Last index known to be in the member's log. A replica that does not lead
    # knows only its own; the others are 0.
    match_index: int
    store_id: str


class ReplicaStatus(NamedTuple):
    """One replica's view of its group."""

    # Node id of the leader, or empty when unknown.
    leader: str
    leader_address: str
    # True only while a quorum has answered within the election timeout.
    is_leader: bool
    term: int
    commit_index: int
    applied_index: int
    members: tuple[MemberState, ...]
    # Number of storage syncs since the start.
    sync_count: int
    # Error that stopped the replica; empty while it runs.
    failure: str
    # Node id of this replica, and the store id of its data folder once loaded.
    node_id: str = ''
    store_id: str = ''
    # A write waits for space on the disk.
    is_disk_full: bool = False
