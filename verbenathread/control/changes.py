"""The decision on one change of a branch, made alike by every replica.

The proposer asks first, so that a text which is refused never reaches the
log; each replica decides again when the change is applied, since another
change may have come between.
"""

from collections.abc import Mapping
from types import MappingProxyType

from verbenathread.control.access import denied, may_change
from verbenathread.control.operations import digest_of
from verbenathread.control.tree import BranchTree
from verbenathread.schema import commands_pb2, control_pb2

_MAX_REPORTED_PROBLEMS = 20

RESULT_BY_CODE: Mapping[int, str] = MappingProxyType(
    {
        control_pb2.OK: 'accepted',
        control_pb2.CONFLICT: 'conflict',
        control_pb2.INVALID: 'invalid',
        control_pb2.DENIED: 'denied',
        control_pb2.NOT_FOUND: 'not found',
    }
)


def decide_change(
    tree: BranchTree, change: commands_pb2.ChangeCommand
) -> control_pb2.ChangeReply:
    """Return the answer to a change; the revision of an accepted one is 0.

    The caller writes the revision, which is the index on the log.
    """
    if change.checked_revision and tree.revision() == change.checked_revision:
        # Nothing came between, so the proposer's decision is this one. All
        # replicas follow it, also one that runs other rules.
        return _accept()
    operator = change.credential.operator_name
    if not may_change(tree.effective(), change.credential, change.path):
        return control_pb2.ChangeReply(answer=denied(operator, change.path))
    current = tree.get(change.path)
    if current.revision != change.expected_revision:
        return _conflict(current, change)
    if change.remove and not tree.exists(change.path):
        return _refuse(
            control_pb2.NOT_FOUND,
            f'no branch stands at {change.path}; see config status',
        )
    text = None if change.remove else change.text
    problems = tree.problems(change.path, text)
    if problems:
        return _refuse(
            control_pb2.INVALID, '\n'.join(problems[:_MAX_REPORTED_PROBLEMS])
        )
    return _accept()


def put_change(
    tree: BranchTree, change: commands_pb2.ChangeCommand, index: int
) -> None:
    """Write an accepted change at its revision."""
    tree.put(
        control_pb2.Branch(
            path=change.path,
            revision=index,
            text='' if change.remove else change.text,
            changed_by=change.credential.operator_name,
        ),
        removed=change.remove,
    )


def digest_of_change(change: commands_pb2.ChangeCommand) -> str:
    """Return the SHA-256 over what the operator asked."""
    asked = commands_pb2.ChangeCommand()
    asked.CopyFrom(change)
    asked.ClearField('checked_revision')
    return digest_of(asked)


def _accept() -> control_pb2.ChangeReply:
    return control_pb2.ChangeReply(
        answer=control_pb2.Answer(code=control_pb2.OK)
    )


def _conflict(
    current: control_pb2.Branch, change: commands_pb2.ChangeCommand
) -> control_pb2.ChangeReply:
    who = current.changed_by or 'nobody'
    return control_pb2.ChangeReply(
        answer=control_pb2.Answer(
            code=control_pb2.CONFLICT,
            message=(
                f'{change.path} stands at revision {current.revision}, '
                + f'last changed by {who}, and not at '
                + f'{change.expected_revision}; look at what stands and '
                + 'change that'
            ),
        ),
        revision=current.revision,
        current=current,
    )


def _refuse(code: control_pb2.Code, message: str) -> control_pb2.ChangeReply:
    return control_pb2.ChangeReply(
        answer=control_pb2.Answer(code=code, message=message)
    )
