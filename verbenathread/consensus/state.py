"""State of one replica, shared by its components.

Terms, votes and the log change only under ``lock``. Each change is synced to
disk before any reply reports it.
"""

import asyncio
import collections
import enum
from random import Random

from verbenathread.clock import Clock
from verbenathread.consensus import members as membership
from verbenathread.consensus.log import Log
from verbenathread.consensus.machine import Applied
from verbenathread.consensus.settings import ReplicaSettings
from verbenathread.consensus.storage import Ballot, SavedState, Storage
from verbenathread.consensus.waiting import Signal
from verbenathread.exceptions import NotLeaderError, UnavailableError
from verbenathread.schema.consensus_pb2 import Envelope, LogMember
from verbenathread.types import Millis


class Role(enum.Enum):
    """Raft role of a replica in the current term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Proposal:
    """A proposed command and the future of its result."""

    def __init__(self, command: bytes) -> None:
        """Create a proposal that is not yet appended."""
        self.command = command
        # While False, the command has certainly not been appended.
        self.appended = False
        self.future: asyncio.Future[Applied] = (
            asyncio.get_running_loop().create_future()
        )

    def fail(self, error: Exception) -> None:
        """Fail the proposal with ``error`` unless it is already done."""
        if not self.future.done():
            self.future.set_exception(error)


class Progress:
    """A leader's replication state for one other member."""

    def __init__(self, member: LogMember, next_index: int, now: Millis):
        """Start replication optimistically at ``next_index``."""
        self.member = member
        self.next_index = next_index
        self.match_index = 0
        # Send time of the latest heartbeat that the member answered.
        self.last_contact = now
        self.round = 0
        self.sent_commit_index = 0
        # The member answers from a store other than the recorded one.
        self.store_mismatch = False
        self.heartbeat_due = asyncio.Event()
        self.work_ready = asyncio.Event()


class Leadership:
    """State of a leader during one term."""

    def __init__(self, term: int, first_index: int) -> None:
        """Begin the term, whose first entry is at ``first_index``."""
        self.term = term
        self.first_index = first_index
        # Last index of the leader's own log that is synced.
        self.synced_index = 0
        # Number of barriers so far; each heartbeat carries the latest.
        self.round = 0
        self.transferring = False
        self.progress_by_id: dict[str, Progress] = {}
        self.queue: collections.deque[Proposal] = collections.deque()
        self.queue_ready = asyncio.Event()

    def wake_replication(self) -> None:
        """Wake every member's replication task."""
        for progress in self.progress_by_id.values():
            progress.work_ready.set()

    def wake_heartbeats(self) -> None:
        """Send a heartbeat to every member immediately."""
        for progress in self.progress_by_id.values():
            progress.heartbeat_due.set()


class ReplicaState:
    """Term, vote, log, role and commit index of one replica."""

    def __init__(
        self,
        settings: ReplicaSettings,
        storage: Storage,
        clock: Clock,
        random: Random,
    ) -> None:
        """Start empty; :meth:`load` fills in the saved state."""
        self.settings = settings
        self.storage = storage
        self.clock = clock
        self.log = Log()
        self.lock = asyncio.Lock()
        self.changed = Signal(clock)
        self.ballot = Ballot()
        self.store_id = ''
        self.leadership: Leadership | None = None
        self.role = Role.FOLLOWER
        self.leader_id = ''
        self.commit_index = 0
        self.election = ElectionTimer(settings, clock, random)

    def load(self, saved: SavedState) -> None:
        """Initialize from the saved state."""
        self.store_id = saved.store_id
        self.ballot = saved.ballot
        self.log.load((saved.base_index, saved.base_term), saved.entries)
        if saved.snapshot is None:
            first = () if self.settings.join else self.settings.initial_members
            self.log.load_members(0, membership.members_of(first))
        else:
            self.commit_index = saved.snapshot.index
            self.log.load_members(saved.snapshot.index, saved.snapshot.members)
        voters = membership.voters(self.log.members())
        names = sorted(member.node_id for member in voters)
        if self.node_id in names:
            self.election.voter_rank = names.index(self.node_id)

    @property
    def node_id(self) -> str:
        """Return the node id of this replica."""
        return self.settings.local_peer.node_id

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.ballot.term

    def envelope(self, target_store: str = '') -> Envelope:
        """Return the envelope of a message of the current term."""
        return Envelope(
            sender=self.node_id,
            sender_store=self.store_id,
            target_store=target_store,
            term=self.term,
        )

    def is_addressed_here(self, head: Envelope) -> bool:
        """Return whether a message is addressed to this store or to any."""
        return head.target_store in {'', self.store_id}

    def is_voter(self) -> bool:
        """Return whether this replica is a voter according to its log."""
        member = membership.find(self.log.members(), self.node_id)
        if member is None or not member.voter:
            return False
        return member.store_id in {'', self.store_id}

    def still_leads(self, leadership: Leadership) -> bool:
        """Return whether ``leadership`` is still the current one."""
        return self.leadership is leadership

    def is_leader(self) -> bool:
        """Return whether this replica leads with recent contact to a quorum.

        The check compares timestamps, so a process that resumes after a pause
        sees immediately that its leadership has expired.
        """
        leadership = self.leadership
        if leadership is None:
            return False
        return self.has_quorum_contact(leadership)

    def has_quorum_contact(self, leadership: Leadership) -> bool:
        """Return whether a quorum answered within the election timeout."""
        oldest = self.clock.now() - self.settings.election_timeout
        responsive = {self.node_id}
        for node_id, progress in leadership.progress_by_id.items():
            if progress.last_contact > oldest:
                responsive.add(node_id)
        return membership.is_quorum(self.log.members(), responsive)

    def require_leadership(self) -> Leadership:
        """Return the leadership, or raise if proposals can't be accepted."""
        leadership = self.leadership
        if leadership is None:
            raise self.not_leader_error()
        if leadership.transferring:
            raise UnavailableError(
                'Leadership is being transferred; try again in a moment.'
            )
        if not self.has_quorum_contact(leadership):
            raise UnavailableError(
                'No quorum of replicas answers; check the network and the '
                'other replicas, then try again.'
            )
        return leadership

    def not_leader_error(self) -> NotLeaderError:
        """Return the error that names the leader, if one is known."""
        leader = self.leader_address()
        if not leader:
            return NotLeaderError('No leader is known; try again soon.')
        return NotLeaderError(
            f'The leader is {leader}; send the request there.', leader
        )

    def leader_address(self) -> str:
        """Return the host and port of the leader, or an empty string."""
        member = membership.find(self.log.members(), self.leader_id)
        if member is None:
            return ''
        return str(membership.peer_of(member).address)

    async def save_ballot(self, ballot: Ballot) -> None:
        """Sync a ballot, then adopt it. The caller holds the lock."""
        await self.storage.save_ballot(ballot)
        if ballot.term > self.term:
            self.leader_id = ''
        self.ballot = ballot

    async def enter_term(self, term: int) -> None:
        """Become a follower in a newer term. The caller holds the lock."""
        if term <= self.term:
            return
        self.become_follower('')
        await self.save_ballot(Ballot(term))

    async def observe_term(self, term: int) -> None:
        """Become a follower when a reply carries a newer term."""
        if term <= self.term:
            return
        async with self.lock:
            await self.enter_term(term)

    def become_follower(self, leader_id: str) -> None:
        """Follow ``leader_id``, failing proposals not yet appended."""
        leadership = self.leadership
        self.leadership = None
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        if leadership is not None:
            error = self.not_leader_error()
            while leadership.queue:
                leadership.queue.popleft().fail(error)
            leadership.queue_ready.set()
            leadership.wake_replication()
            leadership.wake_heartbeats()
        self.changed.notify_all()

    def commit_to(self, index: int) -> None:
        """Advance the commit index; it never decreases."""
        if index > self.commit_index:
            self.commit_index = index
            self.changed.notify_all()


# Until the first message from a leader, a replica waits in steps of the
# election timeout divided by this.
_STARTUP_WAIT_DIVISOR = 8


class ElectionTimer:
    """Election deadline and time of the last contact with the leader."""

    def __init__(
        self, settings: ReplicaSettings, clock: Clock, random: Random
    ) -> None:
        """Create a timer; :meth:`restart` sets the first deadline."""
        self._timeout = settings.election_timeout
        self._clock = clock
        self._random = random
        # Expired from the start: a new replica has had no leader contact.
        self._last_contact = -self._timeout
        self._has_seen_leader = False
        # Position among the voters, which staggers their first elections.
        self.voter_rank = 0
        self.deadline = 0

    def restart(self) -> None:
        """Set a new randomized election deadline."""
        wait = self._timeout + self._random.randrange(self._timeout)
        if not self._has_seen_leader:
            # After a restart of the whole group there is no leader, so a short
            # wait is enough. If there is a leader, its heartbeat arrives first
            # or the other voters refuse.
            step = self._timeout // _STARTUP_WAIT_DIVISOR
            wait = step * (1 + self.voter_rank) + self._random.randrange(step)
        self.deadline = self._clock.now() + wait

    def record_leader_contact(self) -> None:
        """Record a message from the leader of the current term."""
        self._last_contact = self._clock.now()
        self._has_seen_leader = True
        self.restart()

    def has_recent_leader(self) -> bool:
        """Return whether the last leader contact is within the timeout."""
        return self._clock.now() - self._last_contact < self._timeout
