"""Retry budget per service over a sliding window."""

from collections import deque

from verbenathread.types import Millis


class RetryBudget:
    """One gateway's part of a budget that all gateways share.

    Retries are limited to a share of the requests plus a fixed slack. Each
    gateway applies the share to its own requests; the slack is divided by the
    number of gateways.
    """

    def __init__(self, share: float, slack: float, window: Millis) -> None:
        """Allow ``share`` of the requests in ``window``, plus ``slack``."""
        self._share = share
        self._slack = slack
        self._window = window
        self._requests_by_service: dict[str, deque[Millis]] = {}
        self._retries_by_service: dict[str, deque[Millis]] = {}
        self.gateway_count = 1

    def record_request(self, service: str, now: Millis) -> None:
        """Count a caller's request."""
        requests = self._requests_by_service.setdefault(service, deque())
        requests.append(now)
        self._trim(requests, now)

    def forget_request(self, service: str) -> None:
        """Uncount a caller's request that another gateway counts."""
        requests = self._requests_by_service.get(service)
        if requests:
            requests.pop()

    def try_acquire(self, service: str, now: Millis) -> bool:
        """Count a retry and return True if one is allowed."""
        retries = self._retries_by_service.setdefault(service, deque())
        self._trim(retries, now)
        if len(retries) + 1 > self._allowed(service, now):
            return False
        retries.append(now)
        return True

    def available(self, service: str, now: Millis) -> float:
        """Return how many retries are allowed now."""
        retries = self._retries_by_service.get(service, deque())
        self._trim(retries, now)
        return self._allowed(service, now) - len(retries)

    def _allowed(self, service: str, now: Millis) -> float:
        requests = self._requests_by_service.get(service, deque())
        self._trim(requests, now)
        return self._share * len(requests) + self._slack / max(
            1, self.gateway_count
        )

    def _trim(self, times: deque[Millis], now: Millis) -> None:
        while times and now - times[0] > self._window:
            times.popleft()
