"""What one replica knows, shared by the parts that act on it.

Terms, votes and the log change only under ``lock``, and each change is
synced before anybody is told of it.
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
from verbenathread.consensus.storage import Ballot, Saved, Storage
from verbenathread.consensus.waiting import Signal
from verbenathread.exceptions import NotLeaderError, UnavailableError
from verbenathread.schema.consensus_pb2 import Envelope, LogMember
from verbenathread.types import Millis


class Role(enum.Enum):
    """What a replica is in the current term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Proposal:
    """A command on its way to the log."""

    def __init__(self, command: bytes) -> None:
        """Wait to be put on the log."""
        self.command = command
        # False as long as the command was certainly not taken.
        self.appended = False
        self.future: asyncio.Future[Applied] = (
            asyncio.get_running_loop().create_future()
        )

    def fail(self, error: Exception) -> None:
        """Tell the waiting caller of an error."""
        if not self.future.done():
            self.future.set_exception(error)


class Progress:
    """What a leader knows of one other member."""

    def __init__(self, member: LogMember, next_index: int, now: Millis):
        """Assume that the member's log may reach up to ``next_index``."""
        self.member = member
        self.next_index = next_index
        self.match_index = 0
        # When the latest heartbeat that it answered was sent.
        self.heard = now
        self.round = 0
        self.sent_commit = 0
        # The member answers from another store than the one on record.
        self.replaced = False
        self.beat = asyncio.Event()
        self.work = asyncio.Event()


class Leading:
    """One term in which this replica leads."""

    def __init__(self, term: int, first_index: int) -> None:
        """Begin the term; its first entry stands at ``first_index``."""
        self.term = term
        self.first_index = first_index
        # The leader's own log is synced up to here.
        self.synced = 0
        # Counts the barriers; each heartbeat carries the latest.
        self.round = 0
        self.handing_over = False
        self.progress_by_id: dict[str, Progress] = {}
        self.queue: collections.deque[Proposal] = collections.deque()
        self.work = asyncio.Event()

    def wake(self) -> None:
        """Let the tasks of every member look for work."""
        for progress in self.progress_by_id.values():
            progress.work.set()

    def wake_beats(self) -> None:
        """Send a heartbeat to every member now."""
        for progress in self.progress_by_id.values():
            progress.beat.set()


class ReplicaState:
    """Term, vote, log, role and commit index of one replica."""

    def __init__(
        self,
        settings: ReplicaSettings,
        storage: Storage,
        clock: Clock,
        random: Random,
    ) -> None:
        """Start empty; :meth:`load` brings what the disk holds."""
        self.settings = settings
        self.storage = storage
        self.clock = clock
        self.log = Log()
        self.lock = asyncio.Lock()
        self.changed = Signal(clock)
        self.ballot = Ballot()
        self.store_id = ''
        self.leading: Leading | None = None
        self.role = Role.FOLLOWER
        self.leader_id = ''
        self.commit_index = 0
        self.election = ElectionTimer(settings, clock, random)

    def load(self, saved: Saved) -> None:
        """Take over what the disk holds."""
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
        if self.my_id in names:
            self.election.turn = names.index(self.my_id)

    @property
    def my_id(self) -> str:
        """Return the node id of this replica."""
        return self.settings.local_peer.node_id

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.ballot.term

    def head(self, target_store: str = '') -> Envelope:
        """Return the head of a message of the current term."""
        return Envelope(
            sender=self.my_id,
            sender_store=self.store_id,
            target_store=target_store,
            term=self.term,
        )

    def is_meant(self, head: Envelope) -> bool:
        """Tell whether a message is for this store or for any."""
        return head.target_store in {'', self.store_id}

    def is_voter(self) -> bool:
        """Tell whether this replica votes, by its own log."""
        member = membership.find(self.log.members(), self.my_id)
        if member is None or not member.voter:
            return False
        return member.store_id in {'', self.store_id}

    def leads(self, leading: Leading) -> bool:
        """Tell whether the term of ``leading`` goes on here."""
        return self.leading is leading

    def is_leader(self) -> bool:
        """Tell whether this replica leads and a quorum was heard lately.

        A process that froze sees at once that its time has run out.
        """
        leading = self.leading
        if leading is None:
            return False
        return self.is_confirmed(leading)

    def is_confirmed(self, leading: Leading) -> bool:
        """Tell whether a quorum answered within an election timeout."""
        oldest = self.clock.now() - self.settings.election_timeout
        heard = {self.my_id}
        for node_id, progress in leading.progress_by_id.items():
            if progress.heard > oldest:
                heard.add(node_id)
        return membership.is_quorum(self.log.members(), heard)

    def require_leading(self) -> Leading:
        """Return the term led here, or raise before anything is taken."""
        leading = self.leading
        if leading is None:
            raise self.not_leader()
        if leading.handing_over:
            raise UnavailableError(
                'Leadership is being handed over; try again in a moment.'
            )
        if not self.is_confirmed(leading):
            raise UnavailableError(
                'No quorum answers this replica; check the network and the '
                'other control processes, then try again.'
            )
        return leading

    def not_leader(self) -> NotLeaderError:
        """Return the error that names the leader, if one is known."""
        leader = self.leader_address()
        if not leader:
            return NotLeaderError('No leader is known now; try again soon.')
        return NotLeaderError(f'The leader is {leader}; ask there.', leader)

    def leader_address(self) -> str:
        """Return host and port of the leader, empty when unknown."""
        member = membership.find(self.log.members(), self.leader_id)
        if member is None:
            return ''
        return str(membership.peer_of(member).address)

    async def save_ballot(self, ballot: Ballot) -> None:
        """Sync a ballot, then hold it. The caller holds the lock."""
        await self.storage.save_ballot(ballot)
        if ballot.term > self.term:
            self.leader_id = ''
        self.ballot = ballot

    async def enter_term(self, term: int) -> None:
        """Follow in a newer term. The caller holds the lock."""
        if term <= self.term:
            return
        self.follow('')
        await self.save_ballot(Ballot(term))

    async def saw_term(self, term: int) -> None:
        """Follow when an answer names a newer term."""
        if term <= self.term:
            return
        async with self.lock:
            await self.enter_term(term)

    def follow(self, leader_id: str) -> None:
        """Lead no longer; proposals that were not taken are refused."""
        leading = self.leading
        self.leading = None
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        if leading is not None:
            error = self.not_leader()
            while leading.queue:
                leading.queue.popleft().fail(error)
            leading.work.set()
            leading.wake()
            leading.wake_beats()
        self.changed.notify_all()

    def commit_to(self, index: int) -> None:
        """Move the commit index forward; it never falls."""
        if index > self.commit_index:
            self.commit_index = index
            self.changed.notify_all()


# A replica that never heard a leader waits for this part of the usual time.
_EAGER_START = 8


class ElectionTimer:
    """When to stand for election, and when the leader was last heard."""

    def __init__(
        self, settings: ReplicaSettings, clock: Clock, random: Random
    ) -> None:
        """Wait one full time from now on."""
        self._timeout = settings.election_timeout
        self._clock = clock
        self._random = random
        # Long ago: a replica that just started has heard no leader.
        self._heard = -self._timeout
        self._heard_any = False
        # The place among the voters: they stand one after the other.
        self.turn = 0
        self.deadline = 0

    def restart(self) -> None:
        """Draw a new wait before this replica stands for election."""
        wait = self._timeout + self._random.randrange(self._timeout)
        if not self._heard_any:
            # After a restart of the whole group nobody leads. If somebody
            # does, its heartbeat comes first or the others refuse.
            step = self._timeout // _EAGER_START
            wait = step * (1 + self.turn) + self._random.randrange(step)
        self.deadline = self._clock.now() + wait

    def heard_leader(self) -> None:
        """Note that the leader of the term spoke."""
        self._heard = self._clock.now()
        self._heard_any = True
        self.restart()

    def leader_is_fresh(self) -> bool:
        """Tell whether the leader spoke within an election timeout."""
        return self._clock.now() - self._heard < self._timeout
