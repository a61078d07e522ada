"""HTTP calls of the demo's callers."""

import json
import time
from collections.abc import Iterator
from concurrent import futures
from typing import NamedTuple

import urllib3

from tools.demo_deployments import Deployment

_BYTES_PER_TOKEN = 4
_MS_PER_SECOND = 1000
_CALL_LIMIT = urllib3.Timeout(connect=2, read=30)
_OK = 200
_CREATED = 201
_CONFLICT = 409
_TIME_LIMIT_MS = 300_000
_DATA = b'data: '
_DONE = '[DONE]'

_http = urllib3.PoolManager(retries=False, timeout=_CALL_LIMIT)


class CallResult(NamedTuple):
    """The outcome of one call, as a row of the demo's table."""

    label: str
    prompt_tokens: int
    first_token_ms: float
    total_ms: float
    succeeded: bool
    detail: str


def is_ready(address: str) -> bool:
    """Return whether an entry reports that it is ready."""
    try:
        return _http.request('GET', f'http://{address}/readyz').status == _OK
    except urllib3.exceptions.HTTPError:
        return False


def send_prompt(
    deployment: Deployment, entry: int, label: str, tokens: int, *, stream: bool
) -> CallResult:
    """Send one prompt and read the whole response."""
    prompt = f'{label} {time.monotonic_ns()} '
    prompt += 'bed ' * (tokens - len(prompt) // _BYTES_PER_TOKEN)
    body = {
        'model': deployment.model,
        'messages': [{'role': 'user', 'content': prompt}],
        'max_tokens': 64,
        'stream': stream,
    }
    started = time.monotonic()
    response = _http.request(
        'POST',
        f'http://{deployment.entry(entry)}/v1/chat/completions',
        json=body,
        headers={
            'Authorization': f'Bearer {deployment.account_key()}',
            'X-Time-Limit-Ms': str(_TIME_LIMIT_MS),
        },
        preload_content=False,
    )
    if response.status != _OK:
        detail = response.read().decode()
        return CallResult(label, tokens, 0, _ms_since(started), False, detail)
    if not stream:
        choice = response.json()['choices'][0]
        total = _ms_since(started)
        words = len(choice['message']['content'].split())
        succeeded = choice['finish_reason'] == 'stop'
        return CallResult(
            label, tokens, total, total, succeeded, f'{words} tokens'
        )
    return _read_stream(response, label, tokens, started)


def book_twice(deployment: Deployment) -> CallResult:
    """Send one booking to two entries at the same time."""
    key = f'demo-{time.monotonic_ns()}'
    started = time.monotonic()
    with futures.ThreadPoolExecutor(2) as pool:
        sent = [pool.submit(_book, deployment, entry, key) for entry in (1, 2)]
        statuses = sorted(each.result()[0] for each in sent)
    # A caller that received "in progress" retries and gets the stored response.
    status, first = _book(deployment, 1, key)
    again, second = _book(deployment, 2, key)
    succeeded = status == again == _CREATED and first == second
    succeeded = succeeded and set(statuses) <= {_CREATED, _CONFLICT}
    return CallResult(
        'booking sent to two entries',
        0,
        0,
        _ms_since(started),
        succeeded,
        f'answers {statuses}, then one stored answer: {first}',
    )


def _book(deployment: Deployment, entry: int, key: str) -> tuple[int, str]:
    response = _http.request(
        'POST',
        f'http://{deployment.entry(entry)}{deployment.booking_path}',
        json={'place': 'one', 'for': 'tonight'},
        headers={
            'Authorization': f'Bearer {deployment.account_key()}',
            'Idempotency-Key': key,
        },
    )
    return response.status, response.data.decode()


def _read_stream(
    response: urllib3.BaseHTTPResponse, label: str, tokens: int, started: float
) -> CallResult:
    first: float | None = None
    words = 0
    done = False
    for event in _events(response):
        if event == _DONE:
            done = True
            continue
        delta = json.loads(event)['choices'][0].get('delta', {})
        if delta.get('content'):
            first = _ms_since(started) if first is None else first
            words += len(delta['content'].split())
    response.release_conn()
    total = _ms_since(started)
    detail = f'{words} tokens streamed'
    return CallResult(
        label, tokens, first or 0, total, done and words > 0, detail
    )


def _events(response: urllib3.BaseHTTPResponse) -> Iterator[str]:
    pending = b''
    for chunk in response.stream(65536):
        pending += chunk
        *lines, pending = pending.split(b'\n')
        for line in lines:
            if line.startswith(_DATA):
                yield line.removeprefix(_DATA).decode().strip()


def _ms_since(started: float) -> float:
    return (time.monotonic() - started) * _MS_PER_SECOND
