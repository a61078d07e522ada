"""Headers of the platform, decoded."""

import unittest

from verbenathread.http1.messages import Request, ResponseHead
from verbenathread.platform.headers import PlatformDialect


class SharedPartsTest(unittest.TestCase):
    def test_values(self):
        # value, ids of the parts that others may share
        cases = (
            (b'', ()),
            (b'5c1e:800', ()),
            (b'5c1e:800,91bd:410', ('5c1e',)),
            (b'5C1E:800, 91bd:410,e4:250', ('5c1e', '91bd')),
            (b':800,91bd,e4:250', ('91bd',)),
            (b'%b:1,91bd:2,e4:3' % (b'f' * 33), ('91bd',)),
            (b'5c1e:1,' * 40, ('5c1e',) * 32),
        )
        dialect = PlatformDialect()
        for text, expected in cases:
            with self.subTest(text=text):
                headers = (
                    (b'host', b'desk.example'),
                    (b'attempt-id', b'a1'),
                    (b'token-usage', b'100,50'),
                    (b'prompt-prefix', text),
                )
                request = Request(
                    b'POST', b'/note/1', headers, dict(headers), b'', 0
                )
                parsed = dialect.parse_request(request)
                self.assertEqual(parsed.prompt.shared_parts, expected)


class RequestLimitTest(unittest.TestCase):
    def test_values(self):
        # value, requests a second
        cases = (
            (b'1', 1),
            (b'0.25', 0.25),
            (b'0', 0),
            (b'-1', None),
            (b'few', None),
            (b'inf', None),
            (b'', None),
        )
        dialect = PlatformDialect()
        for text, expected in cases:
            with self.subTest(text=text):
                head = ResponseHead(200, (), {b'server-limit': text})
                self.assertEqual(
                    dialect.parse_response(head).request_limit, expected
                )
