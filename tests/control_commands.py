"""Commands and settings texts shared by the tests of control."""

import hashlib

from verbenathread.control.access import credential_of
from verbenathread.control.machine import ControlMachine
from verbenathread.schema import commands_pb2, control_pb2

ROOT_KEY = 'root-key'
ROOT_SHA = hashlib.sha256(ROOT_KEY.encode()).hexdigest()
OPERATOR_KEY = 'desk-key'
OPERATOR_SHA = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()


def account_text(rate: int, name: str = 'tillery') -> str:
    """Return a branch text with one client account at ``rate`` requests/s."""
    hashed = hashlib.sha256(name.encode()).hexdigest()
    return (
        f'[account {name}]\nkey_sha256 = {hashed}\n'
        f'requests_per_second = {rate}\n'
    )


def operator_text(name: str) -> str:
    """Return the section of one operator."""
    return f'[operator {name}]\nkey_sha256 = {OPERATOR_SHA}\n'


def change(
    operation_id: str,
    text: str,
    expected: int,
    *,
    path: str = '/desk',
    operator: str = 'root',
    key: str = ROOT_KEY,
    remove: bool = False,
) -> commands_pb2.Command:
    """Return the command that changes one branch."""
    return commands_pb2.Command(
        change=commands_pb2.ChangeCommand(
            operation_id=operation_id,
            credential=credential_of(operator, key, ROOT_SHA),
            path=path,
            text=text,
            expected_revision=expected,
            remove=remove,
        )
    )


class Log:
    """The log of one replica, which can be replayed or compacted."""

    def __init__(self) -> None:
        self.machine = ControlMachine()
        self.commands: list[bytes] = []

    def apply(self, command: commands_pb2.Command, now: int = 0) -> bytes:
        """Append the command at wall time ``now`` and apply it."""
        command.time_ms = now
        self.commands.append(command.SerializeToString())
        return self.machine.apply(len(self.commands), self.commands[-1])

    def change(
        self, command: commands_pb2.Command, now: int = 0
    ) -> control_pb2.ChangeReply:
        """Apply a change and return its reply."""
        return control_pb2.ChangeReply.FromString(self.apply(command, now))

    def restore_from_snapshot(self) -> None:
        """Replace the machine by one restored from its snapshot."""
        restored = ControlMachine()
        restored.restore(self.machine.snapshot())
        self.machine = restored

    def replay(self) -> ControlMachine:
        """Return another replica that applied the same commands."""
        replica = ControlMachine()
        for index, command in enumerate(self.commands, start=1):
            replica.apply(index, command)
        return replica
