"""The order in which a request tries the owners of candidate engines."""

from collections.abc import Sequence

from verbenathread.scheduling.tuning import Tuning
from verbenathread.schema import settings_pb2
from verbenathread.types import Millis, UpstreamId, Work

_MIN_REROUTE_DELAY: Millis = 500
_MAX_REROUTE_DELAY: Millis = 5000


def reroute_delay(
    work: Work,
    expected_wait: Millis,
    policy: settings_pb2.PolicySettings,
    tuning: Tuning,
) -> Millis | None:
    """Return the wait in ms after which to choose engines again.

    None if rerouting is off, and for a long prompt: moving it would lose the
    protected start that other requests at its engine respect.
    """
    is_long = work.prompt_tokens >= policy.long_tokens
    if is_long or not tuning.reroute_factor:
        return None
    delay = int(expected_wait * tuning.reroute_factor)
    return min(_MAX_REROUTE_DELAY, max(_MIN_REROUTE_DELAY, delay))


class CandidateIterator:
    """Tries owners one by one until one grants memory soon enough.

    Load reports are delayed; the owner's answer is current. A request that
    would wait longer than ``wait_threshold`` ms is cancelled and sent to the
    next owner; if all exceed it, it waits at the owner with the shortest
    expected wait.
    """

    def __init__(
        self, candidates: Sequence[UpstreamId], wait_threshold: Millis
    ) -> None:
        """Try ``candidates`` in order; a threshold of 0 accepts any wait."""
        self._remaining = list(candidates)
        self._wait_threshold = wait_threshold
        self._wait_by_id: dict[UpstreamId, Millis] = {}
        self._is_last = False

    def next(self) -> UpstreamId | None:
        """Return the next engine to try; None if every owner refused."""
        if self._remaining:
            return self._remaining.pop(0)
        if not self._wait_by_id:
            return None
        self._is_last = True
        best = min(self._wait_by_id, key=self._wait_by_id.__getitem__)
        self._wait_by_id.pop(best)
        return best

    def accepts_wait(self, upstream_id: UpstreamId, wait: Millis) -> bool:
        """Return whether to wait there; if not, cancel and try the next."""
        if self._is_last or not self._wait_threshold:
            return True
        if wait <= self._wait_threshold:
            return True
        if not self._remaining and not self._wait_by_id:
            return True
        self._wait_by_id[upstream_id] = wait
        return False
