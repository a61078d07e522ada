"""Generates traces from statistical distributions and a seed."""

import math
import random
from types import MappingProxyType
from typing import NamedTuple

from verbenathread.replay.deployment import Deployment
from verbenathread.replay.engine import EngineRates
from verbenathread.replay.trace import TraceRequest
from verbenathread.types import Millis

_MIN_PROMPT_TOKENS = 1000
_MAX_PROMPT_TOKENS = 1000000
_LONG_PROMPT_TOKENS = 100000
_MAX_OUTPUT_TOKENS = 1024
_MS_PER_SECOND = 1000
_SAMPLES_PER_BAND = 4000
_HASH_BITS = 63
_HASH_BYTES = 8
# Standard deviation of the logarithm of the output length.
_OUTPUT_LOG_SIGMA = 0.6
_BLOCK_TOKENS = 1024


class LengthBand(NamedTuple):
    """A range of prompt lengths, its share of traffic and its time limit.

    Lengths are log-uniform; from 100,000 tokens up they follow a bounded
    Pareto distribution with exponent 1.
    """

    min_tokens: int
    max_tokens: int
    share: float
    time_limit: Millis


class TrafficMix(NamedTuple):
    """Distribution of a deployment's traffic over lengths and accounts."""

    bands: tuple[LengthBand, ...]
    # Share of the requests of each account.
    share_by_account: dict[str, float]
    # The accounts' median output lengths, in tokens, spread evenly over this
    # range.
    median_output_range: tuple[int, int] = (120, 400)
    # Share of the prompts under 100,000 tokens that begin with the account's
    # instructions.
    common_share: float = 0.5
    common_tokens: int = 1024
    # Share of long prompts that repeat an earlier one of the account.
    repeat_share: float = 0.15


_TIME_LIMITS_MS = (45000, 60000, 120000, 240000)
_ACCOUNT_SHARES = (0.26, 0.2, 0.15, 0.1, 0.08, 0.07, 0.05, 0.04, 0.03, 0.02)


def _mix(prefix: str, shares: tuple[float, float, float, float]) -> TrafficMix:
    edges = (
        _MIN_PROMPT_TOKENS,
        4096,
        32768,
        _LONG_PROMPT_TOKENS,
        _MAX_PROMPT_TOKENS,
    )
    bands = tuple(
        LengthBand(
            edges[index],
            edges[index + 1],
            shares[index],
            _TIME_LIMITS_MS[index],
        )
        for index in range(len(shares))
    )
    accounts = {
        f'{prefix}-{number}': share
        for number, share in enumerate(_ACCOUNT_SHARES)
    }
    return TrafficMix(bands, accounts)


_NIGHT_BAND_SHARES = (0.68, 0.21, 0.09, 0.02)
_DAY_BAND_SHARES = (0.8, 0.13, 0.05, 0.02)
MIX_BY_DEPLOYMENT = MappingProxyType(
    {
        'tillery-night': _mix('county', _NIGHT_BAND_SHARES),
        'fbis-day': _mix('member', _DAY_BAND_SHARES),
    }
)


class LoadShape(NamedTuple):
    """Load, duration and seed of a trace, and its deviations from the mix.

    The load is a share of the capacity.
    """

    load: float
    duration: Millis
    seed: int
    # Start, end, and the factor by which the rate of long prompts grows.
    long_burst: tuple[Millis, Millis, float] = (0, 0, 1)
    # Start, end, and the factor by which the flooding account's rate grows.
    flood: tuple[Millis, Millis, float] = (0, 0, 1)
    # Position of the flooding account in the mix.
    flooding_account: int = 6
    # Time from which the two middle bands gain share from the shortest one.
    shift_at: Millis | None = None


class TraceGenerator:
    """Generates the requests of one trace."""

    def __init__(
        self, deployment: Deployment, mix: TrafficMix, shape: LoadShape
    ) -> None:
        """Seed the generator with ``shape.seed``."""
        self._deployment = deployment
        self._mix = mix
        self._shape = shape
        self._rng = random.Random(shape.seed)
        self._long_hashes_by_account: dict[str, tuple[int, ...]] = {}

    def requests(self) -> list[TraceRequest]:
        """Return the requests in order of arrival."""
        rate = capacity(self._deployment, self._mix) * self._shape.load
        drawn = self._draw_poisson(rate, 0, self._shape.duration, None, None)
        begin, end, factor = self._shape.long_burst
        if factor > 1:
            band = self._mix.bands[-1]
            extra = rate * band.share * (factor - 1)
            drawn += self._draw_poisson(extra, begin, end, band, None)
        begin, end, factor = self._shape.flood
        if factor > 1:
            accounts = list(self._mix.share_by_account)
            account = accounts[self._shape.flooding_account]
            extra = rate * self._mix.share_by_account[account] * (factor - 1)
            drawn += self._draw_poisson(extra, begin, end, None, account)
        return sorted(drawn, key=lambda request: request.arrival)

    def _draw_poisson(
        self,
        rate: float,
        begin: Millis,
        end: Millis,
        band: LengthBand | None,
        account: str | None,
    ) -> list[TraceRequest]:
        drawn: list[TraceRequest] = []
        time = float(begin)
        while True:
            time += self._rng.expovariate(rate) * _MS_PER_SECOND
            if time >= end:
                return drawn
            drawn.append(self._draw_request(int(time), band, account))

    def _draw_request(
        self, arrival: Millis, band: LengthBand | None, account: str | None
    ) -> TraceRequest:
        rng = self._rng
        if account is None:
            account = rng.choices(
                list(self._mix.share_by_account),
                list(self._mix.share_by_account.values()),
            )[0]
        if band is None:
            band = rng.choices(self._mix.bands, self._band_shares(arrival))[0]
        tokens = draw_length(band, rng)
        hashes = self._draw_hashes(account, tokens)
        return TraceRequest(
            arrival=arrival,
            account=account,
            service=self._deployment.service,
            prompt_tokens=tokens,
            output_tokens=self._draw_output(account),
            most_output_tokens=_MAX_OUTPUT_TOKENS,
            time_limit=band.time_limit,
            entry=rng.randrange(self._deployment.entries),
            prefix_hashes=hashes,
        )

    def _band_shares(self, arrival: Millis) -> list[float]:
        shares = [band.share for band in self._mix.bands]
        shift_at = self._shape.shift_at
        if shift_at is not None and arrival >= shift_at:
            # The middle bands grow by a third, at the expense of the shortest.
            growth = (shares[1] + shares[2]) / 3
            shares[0] -= growth
            shares[1] += growth / 2
            shares[2] += growth / 2
        return shares

    def _draw_output(self, account: str) -> int:
        accounts = list(self._mix.share_by_account)
        low, high = self._mix.median_output_range
        fraction = accounts.index(account) / max(1, len(accounts) - 1)
        median = low + (high - low) * fraction
        tokens = int(
            self._rng.lognormvariate(math.log(median), _OUTPUT_LOG_SIGMA)
        )
        return max(2, min(_MAX_OUTPUT_TOKENS, tokens))

    def _draw_hashes(self, account: str, tokens: int) -> tuple[int, ...]:
        rng = self._rng
        # Prefixes end after 1, 2, 4, ... blocks.
        count = 0
        while _BLOCK_TOKENS << count <= tokens:
            count += 1
        fresh = [rng.getrandbits(_HASH_BITS) for _ in range(count)]
        if tokens >= _LONG_PROMPT_TOKENS:
            earlier = self._long_hashes_by_account.get(account)
            if earlier and rng.random() < self._mix.repeat_share:
                shared = min(count, len(earlier))
                return (*earlier[:shared], *fresh[shared:])
            self._long_hashes_by_account[account] = tuple(fresh)
            return tuple(fresh)
        if fresh and rng.random() < self._mix.common_share:
            # The account's instructions are the same for every prompt.
            fresh[0] = instructions_hash(account)
        return tuple(fresh)


def instructions_hash(account: str) -> int:
    """Return the prefix hash of an account's instructions."""
    return int.from_bytes(account.encode()[-_HASH_BYTES:], 'big')


def draw_length(band: LengthBand, rng: random.Random) -> int:
    """Draw a prompt length from a band."""
    low, high = band.min_tokens, band.max_tokens
    if low >= _LONG_PROMPT_TOKENS:
        # Inverse transform sampling of a bounded Pareto, exponent 1.
        span = 1 / low - 1 / high
        return int(1 / (1 / low - rng.random() * span))
    return int(low * (high / low) ** rng.random())


def capacity(deployment: Deployment, mix: TrafficMix) -> float:
    """Return the requests per second that the engines can serve.

    The estimate assumes that every step processes one chunk of prefill and
    all decoding streams, that nothing is cached and that memory is no limit.
    Prompts that exceed the memory of one engine incur the group overhead.
    """
    rates = deployment.rates
    rng = random.Random(0)
    work = sum(_band_work(band, rates, rng) for band in mix.bands)
    output = sum(mix.median_output_range) / 2
    streams = rates.chunk_tokens * output / work
    step = rates.step_ms(int(streams), prefilling=True)
    return (
        deployment.engines * _MS_PER_SECOND * rates.chunk_tokens / (work * step)
    )


def _band_work(
    band: LengthBand, rates: EngineRates, rng: random.Random
) -> float:
    """Return a band's contribution to the mean prefill work per request."""
    total: float = 0
    for _ in range(_SAMPLES_PER_BAND):
        tokens = draw_length(band, rng)
        work = rates.prefill_work(tokens)
        if tokens + _MAX_OUTPUT_TOKENS > rates.memory_tokens:
            work *= rates.group_overhead
        total += work
    return total / _SAMPLES_PER_BAND * band.share
