"""Which requests count as the same one."""

import unittest
from types import MappingProxyType

from verbenathread.http1.messages import Request, index_headers
from verbenathread.serving.request_key import RequestIdentity, is_request_key

SAME = MappingProxyType(
    {
        'account': 'night',
        'method': b'GET',
        'host': b'desk.example',
        'target': b'/check/1?day=2',
        'body': b'',
        'attempt': b'a1',
    }
)
# name, what differs, whether it is another request
CASES = (
    ('a repeat at another time', {'attempt': b'a2'}, False),
    ('another account', {'account': 'day'}, True),
    ('another method', {'method': b'POST'}, True),
    ('another host', {'host': b'other.example'}, True),
    ('another path', {'target': b'/check/2?day=2'}, True),
    ('another query', {'target': b'/check/1?day=3'}, True),
    ('a body', {'body': b'x'}, True),
    ('a prompt with other shared parts', {'shared_parts': ('a1',)}, True),
    (
        'the same bytes, divided otherwise',
        {'target': b'/check/1?day=', 'body': b'2'},
        True,
    ),
)


def identity(shared_parts=(), **fields):
    """Return the identity of a request."""
    fields = {**SAME, **fields}
    headers = ((b'Host', fields['host']), (b'Attempt-Id', fields['attempt']))
    request = Request(
        method=fields['method'],
        target=fields['target'],
        headers=headers,
        value_by_name=index_headers(headers),
        body=fields['body'],
        received_at=0,
    )
    return RequestIdentity(request, fields['account'], shared_parts)


class RequestIdentityTest(unittest.TestCase):
    def test_same_requests_have_one_key(self):
        for name, fields, differs in CASES:
            with self.subTest(name):
                key = identity(**fields).key
                self.assertEqual(key != identity().key, differs)

    def test_the_request_is_one_more_part(self):
        request = identity(shared_parts=('a1', 'b2'))
        self.assertEqual(request.parts, {'a1', 'b2', request.key})
        self.assertEqual(
            [is_request_key(part) for part in sorted(request.parts)],
            [False, False, True],
        )

    def test_a_key_does_not_grow_with_the_body(self):
        key = identity(body=b'secret' * 10_000).key
        self.assertLess(len(key), 50)
