"""Tests of bad requests: each gets one error response and leaks nothing."""

import json
import socket
import unittest
from http.client import HTTPResponse
from types import MappingProxyType

from tests.entry_fakes import CALLER_KEY, FakeEntry, wait_until
from tests.standins.processes import LocalStandIn
from verbenathread.entry.exchange import Limits

BODY_BYTES = 100_000
CALL = MappingProxyType({'model': 'draft-desk', 'prompt': 'any cot?'})
CHAT = MappingProxyType({'model': 'draft-desk', 'messages': []})
COMPLETIONS = '/v1/completions'
CHATS = '/v1/chat/completions'
KEY = ('Authorization', f'Bearer {CALLER_KEY}')


def raw(path, content, *headers, method='POST', length=None):
    """Return the bytes of a request."""
    sent = len(content) if length is None else length
    lines = [f'{method} {path} HTTP/1.1', 'Host: entry']
    if sent != 'none':
        lines.append(f'Content-Length: {sent}')
    lines.extend(f'{name}: {text}' for name, text in headers)
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + content


def call(members, *headers, path=COMPLETIONS):
    return raw(path, json.dumps(dict(members)).encode(), KEY, *headers)


CHUNKED = ('Transfer-Encoding', 'chunked')
# Name, request, and the status and error code expected.
BAD_INPUTS = (
    ('no key', raw(COMPLETIONS, b'{}'), 401, 'invalid_api_key'),
    (
        'wrong method',
        raw('/v1/models', b'', ('Authorization', 'Bearer x')),
        404,
        'unknown_path',
    ),
    (
        'wrong key',
        raw('/v1/models', b'', ('Authorization', 'Bearer x'), method='GET'),
        401,
        'invalid_api_key',
    ),
    ('no path', call(CALL, path='/v2'), 404, 'unknown_path'),
    ('unknown model', call({**CALL, 'model': 'x'}), 404, 'model_not_found'),
    (
        'plain as model',
        call({**CALL, 'model': 'cot-ledger'}),
        404,
        'model_not_found',
    ),
    (
        'unknown service',
        raw('/services/x/holds', b'', KEY),
        404,
        'service_not_found',
    ),
    ('not JSON', raw(COMPLETIONS, b'{"model": ', KEY), 400, 'not_json'),
    ('deep JSON', raw(COMPLETIONS, b'[' * 90_000, KEY), 400, 'not_json'),
    ('not UTF-8', raw(COMPLETIONS, b'\xff\xfe{', KEY), 400, 'not_json'),
    ('a list', raw(COMPLETIONS, b'[]', KEY), 400, 'not_json'),
    ('model a number', call({**CALL, 'model': 1}), 400, 'invalid_value'),
    ('prompt a number', call({**CALL, 'prompt': 1}), 400, 'invalid_value'),
    ('no messages', call(CALL, path=CHATS), 400, 'invalid_value'),
    (
        'a string as message',
        call({**CHAT, 'messages': ['a']}, path=CHATS),
        400,
        'invalid_value',
    ),
    (
        'a list as role',
        call({**CHAT, 'messages': [{'role': []}]}, path=CHATS),
        400,
        'invalid_value',
    ),
    ('stream a string', call({**CALL, 'stream': 'yes'}), 400, 'invalid_value'),
    ('no tokens', call({**CALL, 'max_tokens': 0}), 400, 'invalid_value'),
    ('n a list', call({**CALL, 'n': []}), 400, 'invalid_value'),
    ('true as a seed', call({**CALL, 'seed': True}), 400, 'invalid_value'),
    (
        'time limit a word',
        call(CALL, ('X-Time-Limit-Ms', 'soon')),
        400,
        'invalid_time_limit',
    ),
    (
        'body too large',
        raw(COMPLETIONS, b'', KEY, length=BODY_BYTES + 1),
        413,
        'body_too_large',
    ),
    (
        'chunks too large',
        raw(
            COMPLETIONS,
            b'%x\r\n' % (BODY_BYTES * 2),
            KEY,
            CHUNKED,
            length='none',
        ),
        413,
        'body_too_large',
    ),
    (
        'chunk of no size',
        raw(COMPLETIONS, b'zz\r\n', KEY, CHUNKED, length='none'),
        400,
        'malformed_request',
    ),
    (
        'length below zero',
        raw(COMPLETIONS, b'', KEY, length=-5),
        400,
        'malformed_request',
    ),
    (
        'length a word',
        raw(COMPLETIONS, b'', KEY, length='ten'),
        400,
        'malformed_request',
    ),
    (
        'two lengths',
        raw(COMPLETIONS, b'{}', KEY, ('Content-Length', '9')),
        400,
        'malformed_request',
    ),
    (
        'length and chunks',
        raw(COMPLETIONS, b'0\r\n\r\n', KEY, CHUNKED),
        400,
        'malformed_request',
    ),
    ('slow body', raw(COMPLETIONS, b'{', KEY, length=10), 408, 'body_too_slow'),
    (
        'slow headers',
        b'POST /v1/completions HTTP/1.1\r\nHost',
        408,
        'request_too_slow',
    ),
    (
        'header bomb',
        raw(COMPLETIONS, b'', *((f'X-{n}', 'x' * 99) for n in range(999))),
        431,
        'headers_too_large',
    ),
    ('long path', raw('/' * 99_999, b''), 414, 'malformed_request'),
    ('no HTTP', b'hello\r\n\r\n', 400, 'malformed_request'),
    ('other version', b'GET / HTTP/3.0\r\n\r\n', 505, 'malformed_request'),
    (
        'wrong announce key',
        raw(
            '/upstreams/v1/announce',
            b'{"upstream_id": "x", "incarnation": 1, "service": "draft-desk"}',
        ),
        401,
        'invalid_announce_key',
    ),
    (
        'announcement not JSON',
        raw('/upstreams/v1/leave', b'{'),
        400,
        'invalid_announcement',
    ),
    (
        'incarnation a string',
        raw(
            '/upstreams/v1/announce',
            b'{"upstream_id": "x", "incarnation": "1", "service": ""}',
        ),
        400,
        'invalid_announcement',
    ),
)


def exchange(address, content):
    """Send a request; return status, JSON members and headers of the answer."""
    with socket.create_connection(address, timeout=20) as sock:
        sock.sendall(content)
        answer = HTTPResponse(sock)
        answer.begin()
        return answer.status, json.loads(answer.read()), answer.headers


class BadInputTest(unittest.TestCase):
    def setUp(self):
        limits = Limits(8, 4 * BODY_BYTES, BODY_BYTES, 300)
        self.entry = FakeEntry(limits=limits)
        self.addCleanup(self.entry.stop)
        engine = LocalStandIn('engine')
        self.addCleanup(engine.stop)
        self.assertEqual(engine.announce(self.entry.address), 200)

    def test_each_gets_an_error_response(self):
        for name, content, status, code in BAD_INPUTS:
            with self.subTest(name):
                actual_status, members, _ = exchange(
                    self.entry.address, content
                )
                error = members['error']
                self.assertEqual((actual_status, error['code']), (status, code))
                self.assertEqual(error['run_state'], 'not_run')
                self.assertTrue(error['message'])
        actual_status, members, _ = exchange(self.entry.address, call(CALL))
        self.assertEqual(actual_status, 200)
        frontend = self.entry.frontend
        self.assertTrue(wait_until(lambda: not frontend.server.busy))
        self.assertEqual(frontend.body_budget.used_bytes, 0)
        self.assertEqual(self.entry.reservations.opened, 1)
        self.assertEqual(self.entry.reservations.released, 1)
