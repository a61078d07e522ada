"""Decides on changes of branches, with the same result on every replica.

The proposer decides first, so that a refused text never reaches the log. Each
replica decides again when it applies the change, since another change may
have been applied in between.
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
    """Return the reply to a change; its revision is 0 if accepted.

    The caller sets the revision, which is the index of the change in the log.
    """
    if change.checked_revision and tree.revision() == change.checked_revision:
        # No change came in between, so the decision of the proposer holds.
        # Replicas follow it even if their version has different rules.
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


def apply_change(
    tree: BranchTree, change: commands_pb2.ChangeCommand, index: int
) -> None:
    """Apply an accepted change to the tree at its revision."""
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
    """Return the SHA-256 over the request of the operator."""
    requested = commands_pb2.ChangeCommand()
    requested.CopyFrom(change)
    requested.ClearField('checked_revision')
    return digest_of(requested)


def _accept() -> control_pb2.ChangeReply:
    return control_pb2.ChangeReply(
        answer=control_pb2.Answer(code=control_pb2.OK)
    )


def _conflict(
    current: control_pb2.Branch, change: commands_pb2.ChangeCommand
) -> control_pb2.ChangeReply:
    author = current.changed_by or 'nobody'
    return control_pb2.ChangeReply(
        answer=control_pb2.Answer(
            code=control_pb2.CONFLICT,
            message=(
                f'{change.path} stands at revision {current.revision}, '
                + f'last changed by {author}, and not at '
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
