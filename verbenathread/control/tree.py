"""The tree of branches with compare-and-set on each branch.

The revision of a branch is the index in the log of the change that last
touched it. A branch that never existed has revision 0; a removed branch keeps
the revision of its removal, so that nodes at an older revision are notified.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from verbenathread.schema import commands_pb2, control_pb2
from verbenathread.settings.tree import EffectiveTree, check_tree, covers


class TreeDelta(NamedTuple):
    """The branches changed and removed after a revision."""

    branches: tuple[control_pb2.Branch, ...]
    removed_paths: tuple[str, ...]


class BranchTree:
    """Branches by path; written only by the state machine."""

    def __init__(self) -> None:
        """Start at revision 0, without branches."""
        self._image_by_path: dict[str, commands_pb2.BranchImage] = {}
        self._revision = 0
        self._effective: EffectiveTree | None = None

    def revision(self) -> int:
        """Return the revision of the last change of any branch."""
        return self._revision

    def get(self, path: str) -> control_pb2.Branch:
        """Return the branch at ``path``, with empty text if there is none."""
        image = self._image_by_path.get(path)
        if image is None:
            return control_pb2.Branch(path=path)
        return image.branch

    def exists(self, path: str) -> bool:
        """Return whether there is a branch at ``path``."""
        image = self._image_by_path.get(path)
        return image is not None and not image.removed

    def put(self, branch: control_pb2.Branch, *, removed: bool) -> None:
        """Write a branch, or its removal, at its revision."""
        self._image_by_path[branch.path] = commands_pb2.BranchImage(
            branch=branch, removed=removed
        )
        self._revision = max(self._revision, branch.revision)
        self._effective = None

    def branches(self, path: str = '/') -> Iterator[control_pb2.Branch]:
        """Yield the branches at and below ``path``, sorted."""
        for branch_path, image in sorted(self._image_by_path.items()):
            if image.removed or not covers(path, branch_path):
                continue
            yield image.branch

    def delta(self, after: int) -> TreeDelta:
        """Return what changed after revision ``after``."""
        changed = []
        removed = []
        for path, image in sorted(self._image_by_path.items()):
            if image.branch.revision <= after:
                continue
            if image.removed:
                removed.append(path)
                continue
            changed.append(image.branch)
        return TreeDelta(tuple(changed), tuple(removed))

    def effective(self) -> EffectiveTree:
        """Return the tree as nodes use it; cached until the next change."""
        if self._effective is None:
            self._effective = EffectiveTree(self._texts())
        return self._effective

    def problems(self, path: str, text: str | None) -> list[str]:
        """Check the whole tree as it would be with ``text`` at ``path``.

        A text of None removes the branch. The messages may quote the text, so
        show them only to the operator who wrote it.
        """
        return [
            str(problem) for problem in check_tree(self._texts_with(path, text))
        ]

    def problem_locations(self, path: str, text: str | None) -> list[str]:
        """Return where the problems are, without quoting the text."""
        return [
            f'{problem.source} [{problem.section}] {problem.option}'.strip()
            for problem in check_tree(self._texts_with(path, text))
        ]

    def images(self) -> Iterable[commands_pb2.BranchImage]:
        """Return the branches for a snapshot, sorted by path."""
        return [image for _, image in sorted(self._image_by_path.items())]

    def load(self, images: Iterable[commands_pb2.BranchImage]) -> None:
        """Replace the tree by the content of a snapshot."""
        self._image_by_path = {image.branch.path: image for image in images}
        self._effective = None
        self._revision = max(
            (image.branch.revision for image in self._image_by_path.values()),
            default=0,
        )

    def _texts(self) -> dict[str, str]:
        return {branch.path: branch.text for branch in self.branches()}

    def _texts_with(self, path: str, text: str | None) -> Mapping[str, str]:
        texts = self._texts()
        texts.pop(path, None)
        if text is not None:
            texts[path] = text
        return texts
