"""The shared settings in force on this node.

Their revision only increases.
"""

import threading
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from verbenathread.observability.logs import get_logger
from verbenathread.schema import control_pb2, settings_pb2
from verbenathread.settings.tree import EffectiveTree

_log = get_logger('settings')


class _InForce(NamedTuple):
    """One immutable revision of the settings."""

    revision: int
    branch_by_path: Mapping[str, control_pb2.Branch]
    tree: EffectiveTree


class SettingsStore:
    """Provides the settings in force; any thread may read."""

    def __init__(self) -> None:
        """Start without settings, at revision 0."""
        self._in_force = _InForce(0, {}, EffectiveTree({}))
        self._lock = threading.Lock()

    def revision(self) -> int:
        """Return the revision in force; 0 before the first one."""
        return self._in_force.revision

    def account_by_key(
        self, bearer_key: str
    ) -> tuple[str, settings_pb2.AccountSettings] | None:
        """Return name and settings of the account that owns the key."""
        return self._in_force.tree.account_by_key(bearer_key)

    def account(self, name: str) -> settings_pb2.AccountSettings | None:
        """Return the settings of one client account."""
        return self._in_force.tree.account(name)

    def service(self, name: str) -> settings_pb2.ServiceSettings | None:
        """Return the settings of one service."""
        return self._in_force.tree.service(name)

    def service_names(self) -> tuple[str, ...]:
        """Return the names of all services, sorted."""
        return self._in_force.tree.service_names()

    def policy(self, service: str) -> settings_pb2.PolicySettings:
        """Return the policy of the branch that holds the service."""
        return self._in_force.tree.policy(service)

    def update_since(self, revision: int) -> control_pb2.TreeUpdate:
        """Return all settings, or an empty update if nothing is newer."""
        current = self._in_force
        if current.revision <= revision:
            return control_pb2.TreeUpdate(revision=current.revision)
        return control_pb2.TreeUpdate(
            revision=current.revision,
            whole=True,
            branches=current.branch_by_path.values(),
        )

    def apply(self, update: control_pb2.TreeUpdate) -> bool:
        """Put a newer update in force; return whether it was newer."""
        with self._lock:
            current = self._in_force
            if update.revision <= current.revision:
                return False
            branch_by_path = _merged(current.branch_by_path, update)
            tree = EffectiveTree(
                {path: branch.text for path, branch in branch_by_path.items()}
            )
            self._in_force = _InForce(update.revision, branch_by_path, tree)
        _log.info('Shared settings applied.', revision=update.revision)
        return True


def _merged(
    branch_by_path: Mapping[str, control_pb2.Branch],
    update: control_pb2.TreeUpdate,
) -> dict[str, control_pb2.Branch]:
    merged = {} if update.whole else dict(branch_by_path)
    for path in update.removed_paths:
        merged.pop(path, None)
    _put_all(merged, update.branches)
    return merged


def _put_all(
    merged: dict[str, control_pb2.Branch],
    branches: Iterable[control_pb2.Branch],
) -> None:
    for branch in branches:
        merged[branch.path] = branch
