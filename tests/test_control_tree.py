"""Property tests of operators that race, retry and lose replies."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from tests.control_commands import Log, account_text, change
from verbenathread.schema import commands_pb2, control_pb2

_Request = tuple[commands_pb2.Command, bytes]
_Version = tuple[int, str]
PATHS = ('/desk', '/desk/night', '/ledger')


class TreeNeverReverts(RuleBasedStateMachine):
    """Changes based on any earlier revision, retried at any later time."""

    @initialize()
    def initialize_log(self) -> None:
        self.log = Log()
        self.requests: list[_Request] = []
        self.accepted: dict[str, list[_Version]] = {}
        self.max_revision = 0

    @rule(
        path=st.sampled_from(PATHS),
        back=st.integers(0, 2),
        remove=st.booleans(),
        validity=st.integers(0, 4),
    )
    def change_branch(
        self, path: str, back: int, remove: bool, validity: int
    ) -> None:
        number = len(self.requests)
        history = [(0, ''), *self.accepted.get(path, [])]
        expected = history[max(0, len(history) - 1 - back)][0]
        text = account_text(number + 1, path.replace('/', ''))
        if validity == 0:
            text = f'{text}unknown = 1\n'
        command = change(
            f'op-{number}', text, expected, path=path, remove=remove
        )
        answer = self.log.apply(command)
        self.requests.append((command, answer))
        reply = control_pb2.ChangeReply.FromString(answer)
        if reply.answer.code != control_pb2.OK:
            return
        # Only a valid change of the current revision is accepted.
        assert expected == history[-1][0]
        assert remove or validity
        current_text = '' if remove else text
        self.accepted.setdefault(path, []).append(
            (reply.revision, current_text)
        )

    @rule(pick=st.integers(0, 99))
    def resend(self, pick: int) -> None:
        if not self.requests:
            return
        command, answer = self.requests[pick % len(self.requests)]
        assert self.log.apply(command) == answer

    @rule()
    def restore(self) -> None:
        self.log.restore_from_snapshot()

    @invariant()
    def matches_accepted_changes(self) -> None:
        tree = self.log.machine.tree
        assert tree.revision() >= self.max_revision
        self.max_revision = tree.revision()
        for path, history in self.accepted.items():
            branch = tree.get(path)
            assert (branch.revision, branch.text) == history[-1]


TreeNeverRevertsTest = TreeNeverReverts.TestCase
TreeNeverRevertsTest.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=30, deadline=None
)
