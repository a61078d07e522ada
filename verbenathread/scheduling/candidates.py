"""The order in which one request asks the owners of its candidates."""

from collections.abc import Sequence

from verbenathread.scheduling.tuning import Tuning
from verbenathread.schema import settings_pb2
from verbenathread.types import Millis, UpstreamId, Work

_LEAST_LOOK: Millis = 500
_MOST_LOOK: Millis = 5000


def reroute_delay(
    work: Work,
    expected_wait: Millis,
    policy: settings_pb2.PolicySettings,
    tuning: Tuning,
) -> Millis | None:
    """Return ms after which to choose anew if nothing was granted.

    None for a long prompt: moving it loses the promise that others keep to.
    """
    is_long = work.prompt_tokens >= policy.long_tokens
    if is_long or not tuning.reroute_factor:
        return None
    patience = int(expected_wait * tuning.reroute_factor)
    return min(_MOST_LOOK, max(_LEAST_LOOK, patience))


class CandidateIterator:
    """Asks one owner after the other until one has room soon enough.

    Load reports are late; the owner's answer is not. An ask that would wait
    longer than ``patience`` is cancelled and the next owner is asked; when
    all would, the request waits at the one with the least wait.
    """

    def __init__(
        self, candidates: Sequence[UpstreamId], wait_threshold: Millis
    ) -> None:
        """Plan to ask ``candidates`` in order; patience 0 takes any wait."""
        self._left = list(candidates)
        self._patience = wait_threshold
        self._wait_by_id: dict[UpstreamId, Millis] = {}
        self._is_last = False

    def next(self) -> UpstreamId | None:
        """Return the next to ask; None when every owner has refused."""
        if self._left:
            return self._left.pop(0)
        if not self._wait_by_id:
            return None
        self._is_last = True
        best = min(self._wait_by_id, key=self._wait_by_id.__getitem__)
        self._wait_by_id.pop(best)
        return best

    def accepts_wait(self, upstream_id: UpstreamId, wait: Millis) -> bool:
        """Tell whether to wait there; if not, cancel it and ask the next."""
        if self._is_last or not self._patience:
            return True
        if wait <= self._patience:
            return True
        if not self._left and not self._wait_by_id:
            return True
        self._wait_by_id[upstream_id] = wait
        return False
