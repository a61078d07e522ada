"""Authenticates and authorizes operators by the hash of their key.

Keys are compared in constant time. The process that receives an operator's
key passes on only its hash.
"""

import hmac

from verbenathread.schema import commands_pb2, control_pb2
from verbenathread.settings.tree import EffectiveTree, covers, key_hash

ROOT_OPERATOR = 'root'
_MAY_CHANGE = 'change'


def credential_of(
    operator_name: str, operator_key: str, root_key_sha256: str
) -> commands_pb2.Credential:
    """Return the credential of an operator, with the key hashed."""
    hashed = key_hash(operator_key)
    is_root = operator_name == ROOT_OPERATOR
    return commands_pb2.Credential(
        operator_name=operator_name,
        key_sha256=hashed,
        root=is_root and hmac.compare_digest(hashed, root_key_sha256),
    )


def may_read(tree: EffectiveTree, credential: commands_pb2.Credential) -> bool:
    """Return whether the credential belongs to an operator of the tree."""
    if credential.root:
        return True
    operator = tree.operator(credential.operator_name)
    if operator is None:
        return False
    return hmac.compare_digest(
        operator.settings.key_sha256, credential.key_sha256
    )


def may_change(
    tree: EffectiveTree, credential: commands_pb2.Credential, path: str
) -> bool:
    """Return whether the operator may change the branch at ``path``."""
    if credential.root:
        return True
    operator = tree.operator(credential.operator_name)
    if operator is None or not may_read(tree, credential):
        return False
    if operator.settings.may != _MAY_CHANGE:
        return False
    return covers(operator.path, path)


def denied(operator_name: str, path: str = '') -> control_pb2.Answer:
    """Return the answer to an operator without permission."""
    location = f' at {path}' if path else ''
    return control_pb2.Answer(
        code=control_pb2.DENIED,
        message=(
            f'operator {operator_name!r} may not do this{location}; '
            + 'check the name and key, or ask an operator of a branch above'
        ),
    )
