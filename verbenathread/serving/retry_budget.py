"""How many sends to a service may be repeats, over a sliding window."""

from collections import deque

from verbenathread.types import Millis


class RetryBudget:
    """One gateway's part of a budget that all gateways share.

    A share of the requests may be repeated wherever they come in, so each
    gateway counts its own; the slack is divided by the number of gateways.
    """

    def __init__(self, share: float, slack: int, window: Millis) -> None:
        """Allow ``share`` of the requests in ``window``, and ``slack``."""
        self._share = share
        self._slack = slack
        self._window = window
        self._firsts_by_service: dict[str, deque[Millis]] = {}
        self._repeats_by_service: dict[str, deque[Millis]] = {}
        self.gateway_count = 1

    def record_request(self, service: str, now: Millis) -> None:
        """Count a request of a caller."""
        firsts = self._firsts_by_service.setdefault(service, deque())
        firsts.append(now)
        self._trim(firsts, now)

    def try_acquire(self, service: str, now: Millis) -> bool:
        """Count a repeat, if one is allowed."""
        repeats = self._repeats_by_service.setdefault(service, deque())
        self._trim(repeats, now)
        if len(repeats) + 1 > self._allowed(service, now):
            return False
        repeats.append(now)
        return True

    def available(self, service: str, now: Millis) -> float:
        """Return how many repeats are allowed now."""
        repeats = self._repeats_by_service.get(service, deque())
        self._trim(repeats, now)
        return self._allowed(service, now) - len(repeats)

    def _allowed(self, service: str, now: Millis) -> float:
        firsts = self._firsts_by_service.get(service, deque())
        self._trim(firsts, now)
        return self._share * len(firsts) + self._slack / max(
            1, self.gateway_count
        )

    def _trim(self, moments: deque[Millis], now: Millis) -> None:
        while moments and now - moments[0] > self._window:
            moments.popleft()
