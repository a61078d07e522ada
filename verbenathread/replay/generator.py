"""Traces generated from stated distributions and a seed."""

import math
import random
from types import MappingProxyType
from typing import NamedTuple

from verbenathread.replay.deployment import Deployment
from verbenathread.replay.engine import EngineRates
from verbenathread.replay.trace import TraceRequest
from verbenathread.types import Millis

_SHORTEST = 1000
_LONGEST = 1000000
_LONG = 100000
_MOST_OUTPUT = 1024
_MS = 1000
_SAMPLES = 4000
_HASH_BITS = 63
_HASH_BYTES = 8
# Deviation of the log of the output length.
_OUTPUT_SPREAD = 0.6
_BLOCK = 1024


class Band(NamedTuple):
    """Prompts of a range of lengths, their share and their time limit.

    Lengths are log-uniform; from 100,000 tokens on they follow a bounded
    Pareto distribution with exponent 1.
    """

    least: int
    most: int
    share: float
    time_limit: Millis


class Mix(NamedTuple):
    """The lengths and accounts of a deployment's traffic."""

    bands: tuple[Band, ...]
    # Share of the requests by account.
    share_by_account: dict[str, float]
    # Median output by account is spread between these, in tokens.
    outputs: tuple[int, int] = (120, 400)
    # Share of requests that begin with the account's instructions.
    common_share: float = 0.5
    common_tokens: int = 1024
    # Share of long prompts that repeat an earlier one of the account.
    repeat_share: float = 0.15


_LIMITS = (45000, 60000, 120000, 240000)
_SHARES = (0.26, 0.2, 0.15, 0.1, 0.08, 0.07, 0.05, 0.04, 0.03, 0.02)


def _mix(prefix: str, shares: tuple[float, float, float, float]) -> Mix:
    edges = (_SHORTEST, 4096, 32768, _LONG, _LONGEST)
    bands = tuple(
        Band(edges[at], edges[at + 1], shares[at], _LIMITS[at])
        for at in range(len(shares))
    )
    accounts = {
        f'{prefix}-{number}': share for number, share in enumerate(_SHARES)
    }
    return Mix(bands, accounts)


_NIGHT_SHARES = (0.68, 0.21, 0.09, 0.02)
_DAY_SHARES = (0.8, 0.13, 0.05, 0.02)
MIX_BY_DEPLOYMENT = MappingProxyType(
    {
        'tillery-night': _mix('county', _NIGHT_SHARES),
        'fbis-day': _mix('member', _DAY_SHARES),
    }
)


class Shape(NamedTuple):
    """How a trace departs from a steady mix."""

    load: float
    duration: Millis
    seed: int
    # From, to: this many times as many long prompts.
    long_burst: tuple[Millis, Millis, float] = (0, 0, 1)
    # From, to: the account at this position sends this many times more.
    flood: tuple[Millis, Millis, float] = (0, 0, 1)
    flooding_account: int = 6
    # From then on the shares of the two middle bands are swapped with short.
    shift_at: Millis | None = None


class Generator:
    """Draws the requests of one trace."""

    def __init__(self, deployment: Deployment, mix: Mix, shape: Shape) -> None:
        """Prepare the draws of ``shape.seed``."""
        self._deployment = deployment
        self._mix = mix
        self._shape = shape
        self._rng = random.Random(shape.seed)
        self._earlier: dict[str, tuple[int, ...]] = {}

    def requests(self) -> list[TraceRequest]:
        """Return the trace in the order of arrival."""
        rate = capacity(self._deployment, self._mix) * self._shape.load
        drawn = self._poisson(rate, 0, self._shape.duration, None, None)
        begin, end, times = self._shape.long_burst
        if times > 1:
            band = self._mix.bands[-1]
            extra = rate * band.share * (times - 1)
            drawn += self._poisson(extra, begin, end, band, None)
        begin, end, times = self._shape.flood
        if times > 1:
            accounts = list(self._mix.share_by_account)
            account = accounts[self._shape.flooding_account]
            extra = rate * self._mix.share_by_account[account] * (times - 1)
            drawn += self._poisson(extra, begin, end, None, account)
        return sorted(drawn, key=lambda request: request.arrival)

    def _poisson(
        self,
        rate: float,
        begin: Millis,
        end: Millis,
        band: Band | None,
        account: str | None,
    ) -> list[TraceRequest]:
        drawn: list[TraceRequest] = []
        moment = float(begin)
        while True:
            moment += self._rng.expovariate(rate) * _MS
            if moment >= end:
                return drawn
            drawn.append(self._request(int(moment), band, account))

    def _request(
        self, arrival: Millis, band: Band | None, account: str | None
    ) -> TraceRequest:
        rng = self._rng
        if account is None:
            account = rng.choices(
                list(self._mix.share_by_account),
                list(self._mix.share_by_account.values()),
            )[0]
        if band is None:
            band = rng.choices(self._mix.bands, self._shares(arrival))[0]
        tokens = draw_length(band, rng)
        hashes = self._hashes(account, tokens)
        return TraceRequest(
            arrival=arrival,
            account=account,
            service=self._deployment.service,
            prompt_tokens=tokens,
            output_tokens=self._output(account),
            most_output_tokens=_MOST_OUTPUT,
            time_limit=band.time_limit,
            entry=rng.randrange(self._deployment.entries),
            prefix_hashes=hashes,
        )

    def _shares(self, arrival: Millis) -> list[float]:
        shares = [band.share for band in self._mix.bands]
        shift_at = self._shape.shift_at
        if shift_at is not None and arrival >= shift_at:
            # The middle bands grow by a third at the cost of the short one.
            grown = (shares[1] + shares[2]) / 3
            shares[0] -= grown
            shares[1] += grown / 2
            shares[2] += grown / 2
        return shares

    def _output(self, account: str) -> int:
        accounts = list(self._mix.share_by_account)
        low, high = self._mix.outputs
        place = accounts.index(account) / max(1, len(accounts) - 1)
        median = low + (high - low) * place
        tokens = int(self._rng.lognormvariate(math.log(median), _OUTPUT_SPREAD))
        return max(2, min(_MOST_OUTPUT, tokens))

    def _hashes(self, account: str, tokens: int) -> tuple[int, ...]:
        rng = self._rng
        count = 0
        while _BLOCK << count <= tokens:
            count += 1
        fresh = [rng.getrandbits(_HASH_BITS) for _ in range(count)]
        if tokens >= _LONG:
            earlier = self._earlier.get(account)
            if earlier and rng.random() < self._mix.repeat_share:
                shared = min(count, len(earlier))
                return (*earlier[:shared], *fresh[shared:])
            self._earlier[account] = tuple(fresh)
            return tuple(fresh)
        if fresh and rng.random() < self._mix.common_share:
            # The same instructions before every prompt of the account.
            fresh[0] = hash_of(account)
        return tuple(fresh)


def hash_of(account: str) -> int:
    """Return the hash of an account's instructions."""
    return int.from_bytes(account.encode()[-_HASH_BYTES:], 'big')


def draw_length(band: Band, rng: random.Random) -> int:
    """Draw one prompt length of a band."""
    low, high = band.least, band.most
    if low >= _LONG:
        # Bounded Pareto with exponent 1, by its inverse.
        span = 1 / low - 1 / high
        return int(1 / (1 / low - rng.random() * span))
    return int(low * (high / low) ** rng.random())


def capacity(deployment: Deployment, mix: Mix) -> float:
    """Return the requests a second that the engines can prefill and decode.

    Every step carries one chunk of prefill and the streams that decode;
    nothing is cached, and what is over one engine costs the group's
    overhead. Memory is not counted.
    """
    rates = deployment.rates
    rng = random.Random(0)
    work = sum(_mean_work(band, rates, rng) for band in mix.bands)
    output = sum(mix.outputs) / 2
    streams = rates.chunk_tokens * output / work
    step = rates.step(int(streams), prefilling=True)
    return deployment.engines * _MS * rates.chunk_tokens / (work * step)


def _mean_work(band: Band, rates: EngineRates, rng: random.Random) -> float:
    """Return a band's part of the mean work of a request."""
    total: float = 0
    for _ in range(_SAMPLES):
        tokens = draw_length(band, rng)
        work = rates.work(tokens)
        if tokens + _MOST_OUTPUT > rates.memory_tokens:
            work *= rates.group_overhead
        total += work
    return total / _SAMPLES * band.share
