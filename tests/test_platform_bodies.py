"""Configurations: what is absent, empty or zero, and what is refused."""

import json
import unittest
from types import MappingProxyType

from tests.test_directory_cluster import body
from verbenathread.platform.bodies import (
    InvalidBodyError,
    decode_config,
    decode_new_config,
)
from verbenathread.serving.routes import RouteMatch, RouteTable, UnknownKey

ROUTE = MappingProxyType(json.loads(body(1))['routes'][0])
TENANT = MappingProxyType({'name': 'night', 'api-keys': ['k-night']})


def routes(**changes):
    """Return a configuration whose route has these fields."""
    return body(1, routes=[ROUTE | changes])


def engine(**changes):
    """Return a configuration whose service has an engine."""
    fields = {
        'slots': 8,
        'kv-capacity-tokens': 232_000,
        'step_ms': 1.02,
        'per_seq_ms': 0,
        'context_per_k': 0.004,
        'read_per_s': 206_000,
    }
    service = {'name': 'desk', 'engine': fields | changes}
    return body(1, services=[service])


class KeysTest(unittest.TestCase):
    # Without a client account, requests with any key or none were served.
    def test_who_may_call(self):
        # tenants, key, whether it is served
        cases = (
            ({}, None, True),
            ({}, 'any', True),
            ({'tenants': []}, None, False),
            ({'tenants': []}, 'any', False),
            # Accepted by earlier versions; on disks of the directory.
            ({'tenants': None}, 'any', False),
            ({'tenants': [{'name': 'night', 'api-keys': []}]}, '', False),
            ({'tenants': [{'name': 'night', 'api-keys': 'ab'}]}, 'a', False),
            ({'tenants': [dict(TENANT)]}, 'k-night', True),
            ({'tenants': [dict(TENANT)]}, 'any', False),
            ({'tenants': [dict(TENANT)]}, '', False),
            ({'tenants': [dict(TENANT)]}, None, False),
        )
        for tenants, key, served in cases:
            with self.subTest(tenants=tenants, key=key):
                table = RouteTable(decode_config(body(1, **tenants)))
                match = table.match('desk.example', '/note/1', key)
                expected = RouteMatch if served else UnknownKey
                self.assertIsInstance(match, expected)

    def test_only_public_routes_are_open(self):
        for public, served in (
            (True, True),
            (False, False),
            (None, False),
            ('false', False),
            (1, False),
        ):
            with self.subTest(public=public):
                changes = [ROUTE | {'public': public}]
                content = body(1, routes=changes, tenants=[dict(TENANT)])
                table = RouteTable(decode_config(content))
                match = table.match('desk.example', '/note/1', None)
                self.assertIs(isinstance(match, RouteMatch), served)


class RouteFieldsTest(unittest.TestCase):
    def test_values(self):
        # fields of the route, field of the result, value
        cases = (
            ({'attempts': 0}, 'max_attempts', 0),
            ({'attempts': None}, 'max_attempts', 1),
            ({'attempts': 3}, 'max_attempts', 3),
            ({'resumable': 'false'}, 'resumable', False),
            ({'resumable': True}, 'resumable', True),
            # Beyond what notices carry: each request failed as announced.
            ({'target-latency-ms': 10**30}, 'target_latency', 0x7FFFFFFF),
            ({'target-latency-ms': -5}, 'target_latency', 0),
            ({'target-gap-ms': 10**30}, 'target_pause', 0x7FFFFFFF),
            ({'timeout-ms': 10**30}, 'time_limit', 0x7FFFFFFF),
        )
        for fields, name, expected in cases:
            with self.subTest(fields=fields):
                config = decode_config(routes(**fields))
                self.assertEqual(getattr(config.routes[0], name), expected)


class NewConfigTest(unittest.TestCase):
    # A value that would be read as another one than was meant.
    def test_refused(self):
        cases = (
            body(1, tenants=None),
            body(1, tenants={}),
            body(1, tenants=[{'name': 'night', 'api-keys': 'k-night'}]),
            body(1, tenants=[{'name': 'night', 'api-keys': None}]),
            body(0),
            body(1 << 63),
            routes(priority=float('inf')),
            engine(read_per_s=0),
            engine(read_per_s=float('inf')),
            engine(slots=0),
            engine(step_ms=float('nan')),
            engine(per_seq_ms=-1),
            routes(public='false'),
            routes(resumable=1),
            routes(attempts=-1),
            body(1, routes=[ROUTE | {'traffic-split': []}]),
        )
        for content in cases:
            with self.subTest(content=content):
                with self.assertRaises(InvalidBodyError):
                    decode_new_config(content)

    def test_accepted(self):
        cases = (
            body(1),
            engine(),
            body(1, tenants=[]),
            body(1, tenants=[{'name': 'night', 'api-keys': []}]),
            body(1, routes=[]),
            routes(public=False, resumable=None, attempts=0),
        )
        for content in cases:
            with self.subTest(content=content):
                self.assertEqual(decode_new_config(content).version, 1)
