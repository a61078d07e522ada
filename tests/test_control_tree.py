"""Operators that race, resend and lose answers, drawn by hypothesis."""

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

_Asked = tuple[commands_pb2.Command, bytes]
_Stood = tuple[int, str]
PATHS = ('/desk', '/desk/night', '/ledger')


class TreeNeverReverts(RuleBasedStateMachine):
    """Changes on any revision seen so far, resent at any later time."""

    @initialize()
    def begin(self) -> None:
        self.log = Log()
        self.asked: list[_Asked] = []
        self.accepted: dict[str, list[_Stood]] = {}
        self.highest = 0

    @rule(
        path=st.sampled_from(PATHS),
        back=st.integers(0, 2),
        remove=st.booleans(),
        good=st.integers(0, 4),
    )
    def ask(self, path: str, back: int, remove: bool, good: int) -> None:
        number = len(self.asked)
        history = [(0, ''), *self.accepted.get(path, [])]
        expected = history[max(0, len(history) - 1 - back)][0]
        text = account_text(number + 1, path.replace('/', ''))
        if good == 0:
            text = f'{text}unknown = 1\n'
        command = change(
            f'op-{number}', text, expected, path=path, remove=remove
        )
        answer = self.log.apply(command)
        self.asked.append((command, answer))
        reply = control_pb2.ChangeReply.FromString(answer)
        if reply.answer.code != control_pb2.OK:
            return
        # Exactly the one who named what stood wins, with a sound text.
        assert expected == history[-1][0]
        assert remove or good
        stands = '' if remove else text
        self.accepted.setdefault(path, []).append((reply.revision, stands))

    @rule(pick=st.integers(0, 99))
    def resend(self, pick: int) -> None:
        if not self.asked:
            return
        command, answer = self.asked[pick % len(self.asked)]
        assert self.log.apply(command) == answer

    @rule()
    def restore(self) -> None:
        self.log.restore_from_snapshot()

    @invariant()
    def stands_as_accepted(self) -> None:
        tree = self.log.machine.tree
        assert tree.revision() >= self.highest
        self.highest = tree.revision()
        for path, history in self.accepted.items():
            branch = tree.get(path)
            assert (branch.revision, branch.text) == history[-1]


TreeNeverRevertsTest = TreeNeverReverts.TestCase
TreeNeverRevertsTest.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=30, deadline=None
)
