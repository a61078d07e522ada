"""What a caller does in the demo, over HTTP."""

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
    """What came back of one call."""

    label: str
    prompt_tokens: int
    first_token_ms: float
    total_ms: float
    succeeded: bool
    detail: str


def is_ready(address: str) -> bool:
    """Tell whether an entry says that it is ready."""
    try:
        return _http.request('GET', f'http://{address}/readyz').status == _OK
    except urllib3.exceptions.HTTPError:
        return False


def send_prompt(
    deployment: Deployment, entry: int, what: str, tokens: int, *, stream: bool
) -> CallResult:
    """Send one prompt and read the whole answer."""
    prompt = f'{what} {time.monotonic_ns()} '
    prompt += 'bed ' * (tokens - len(prompt) // _BYTES_PER_TOKEN)
    body = {
        'model': deployment.model,
        'messages': [{'role': 'user', 'content': prompt}],
        'max_tokens': 64,
        'stream': stream,
    }
    started = time.monotonic()
    answer = _http.request(
        'POST',
        f'http://{deployment.entry(entry)}/v1/chat/completions',
        json=body,
        headers={
            'Authorization': f'Bearer {deployment.account_key()}',
            'X-Time-Limit-Ms': str(_TIME_LIMIT_MS),
        },
        preload_content=False,
    )
    if answer.status != _OK:
        seen = answer.read().decode()
        return CallResult(what, tokens, 0, _ms_since(started), False, seen)
    if not stream:
        choice = answer.json()['choices'][0]
        total = _ms_since(started)
        words = len(choice['message']['content'].split())
        held = choice['finish_reason'] == 'stop'
        return CallResult(what, tokens, total, total, held, f'{words} tokens')
    return _read_stream(answer, what, tokens, started)


def book_twice(deployment: Deployment) -> CallResult:
    """Send one booking to two entries at the same time."""
    key = f'demo-{time.monotonic_ns()}'
    started = time.monotonic()
    with futures.ThreadPoolExecutor(2) as pool:
        sent = [pool.submit(_book, deployment, entry, key) for entry in (1, 2)]
        statuses = sorted(each.result()[0] for each in sent)
    # Whoever was told that it is in progress asks again and gets the answer.
    status, first = _book(deployment, 1, key)
    again, second = _book(deployment, 2, key)
    held = status == again == _CREATED and first == second
    held = held and set(statuses) <= {_CREATED, _CONFLICT}
    return CallResult(
        'booking sent to two entries',
        0,
        0,
        _ms_since(started),
        held,
        f'answers {statuses}, then one stored answer: {first}',
    )


def _book(deployment: Deployment, entry: int, key: str) -> tuple[int, str]:
    answer = _http.request(
        'POST',
        f'http://{deployment.entry(entry)}{deployment.booking_path}',
        json={'place': 'one', 'for': 'tonight'},
        headers={
            'Authorization': f'Bearer {deployment.account_key()}',
            'Idempotency-Key': key,
        },
    )
    return answer.status, answer.data.decode()


def _read_stream(
    answer: urllib3.BaseHTTPResponse, what: str, tokens: int, started: float
) -> CallResult:
    first: float | None = None
    words = 0
    done = False
    for event in _events(answer):
        if event == _DONE:
            done = True
            continue
        delta = json.loads(event)['choices'][0].get('delta', {})
        if delta.get('content'):
            first = _ms_since(started) if first is None else first
            words += len(delta['content'].split())
    answer.release_conn()
    total = _ms_since(started)
    seen = f'{words} tokens streamed'
    return CallResult(what, tokens, first or 0, total, done and words > 0, seen)


def _events(answer: urllib3.BaseHTTPResponse) -> Iterator[str]:
    pending = b''
    for chunk in answer.stream(65536):
        pending += chunk
        *lines, pending = pending.split(b'\n')
        for line in lines:
            if line.startswith(_DATA):
                yield line.removeprefix(_DATA).decode().strip()


def _ms_since(started: float) -> float:
    return (time.monotonic() - started) * _MS_PER_SECOND
