"""Tests of node settings and of the tree of shared settings."""

import unittest

from verbenathread.schema import settings_pb2
from verbenathread.settings.node import check_node_text
from verbenathread.settings.rules import fill_defaults
from verbenathread.settings.tree import (
    EffectiveTree,
    check_tree,
    covers,
    key_hash,
)

HASH = key_hash('spare')

NODE = """
[node]
id = e1
data_centre = jackson-ms
cluster = tillery
node_key = secret
[entry]
control = 127.0.0.1:9001
cell = e1@127.0.0.1:8081
"""

DIRECTORY = """
[node]
id = d1
data_centre = jackson-ms
cluster = tillery
node_key = secret
[directory]
seeds = 127.0.0.1:8060
data_folder = log
"""

ACCOUNT = f'[account van]\nkey_sha256 = {HASH}\n'
SERVICE = f'[service draft-desk]\nannounce_key_sha256 = {HASH}\n'


class NodeSettingsTest(unittest.TestCase):
    def test_defaults_come_from_the_schema(self):
        node, problems = check_node_text('e1.ini', NODE)
        self.assertEqual(problems, [])
        self.assertEqual(node.entry.streams, 256)
        self.assertEqual(node.node.region, 'local')
        self.assertFalse(node.HasField('control'))

    def test_problems_name_the_option_and_a_remedy(self):
        cases = (
            (
                NODE.replace('id = e1', 'id = E 1'),
                "e1.ini: [node] id: 'E 1' is not valid; write a value that"
                ' matches [a-z0-9][a-z0-9-]{0,62}',
            ),
            (
                NODE + 'streams = 3\n',
                'e1.ini: [entry] streams: 3 is out of range; write a whole'
                ' number from 4 to 2048',
            ),
            (
                NODE + 'streems = 30\n',
                'e1.ini: [entry] streems: unknown option; write streams',
            ),
            (
                NODE + 'streams = 30\nstreams = 40\n',
                'e1.ini: [entry] streams: the option is repeated in line 11;'
                ' keep one of the two',
            ),
            (
                f'{NODE}[entry]\n',
                'e1.ini: [entry]: the section is repeated in line 10;'
                ' merge the two',
            ),
            (
                NODE + '[log]\nlevel = loud\n',
                "e1.ini: [log] level: 'loud' is not a valid choice; write"
                ' one of debug, info, warning, error',
            ),
            (
                NODE + 'listen = localhost:80\n',
                "e1.ini: [entry] listen: 'localhost:80' is not an address;"
                ' write an IP address and a port, such as 127.0.0.1:8080',
            ),
            (
                NODE.replace('cell = e1@', 'cell = e2@'),
                'e1.ini: [entry] cell: this node, e1, is not in its own cell;'
                ' add e1@ and its peer_listen address',
            ),
            (
                NODE.replace('cluster = tillery\n', ''),
                'e1.ini: [node] cluster: the option is missing; add'
                ' "cluster = ..." (Name of the deployment; nodes of another'
                ' cluster are refused.)',
            ),
            (
                f'{DIRECTORY}peer_advertise = vm7\n',
                "e1.ini: [directory] peer_advertise: 'vm7' is not an address;"
                ' write an IP address and a port, such as 127.0.0.1:8080',
            ),
            (
                'streams\n',
                'e1.ini: : line 1 is not valid INI; write [section],'
                ' option = value, or # comment',
            ),
        )
        for text, expected in cases:
            with self.subTest(expected=expected):
                _, problems = check_node_text('e1.ini', text)
                self.assertIn(expected, [str(found) for found in problems])

    def test_secrets_are_not_shown_in_problems(self):
        text = NODE.replace('node_key = secret', 'node_key =')
        _, problems = check_node_text('e1.ini', text)
        self.assertEqual(len(problems), 1)
        self.assertNotIn('secret', str(problems[0]))


class TreeTest(unittest.TestCase):
    def test_policy_is_inherited_from_ancestors(self):
        tree = EffectiveTree(
            {
                '/': '[policy]\nattempts = 6\nqueue_limit = 10\n',
                '/tillery': '[policy]\nattempts = 3\n' + SERVICE,
            }
        )
        policy = tree.policy('draft-desk')
        self.assertEqual((policy.attempts, policy.queue_limit), (3, 10))
        self.assertEqual(policy.candidates, 4)

    def test_account_is_found_by_each_of_its_keys(self):
        both = f'{key_hash("old")},{key_hash("new")}'
        tree = EffectiveTree({'/': f'[account van]\nkey_sha256 = {both}\n'})
        for key, expected in (('old', 'van'), ('new', 'van'), ('x', None)):
            with self.subTest(key=key):
                found = tree.account_by_key(key)
                self.assertEqual(found and found[0], expected)

    def test_problems_of_trees(self):
        cases = (
            (
                {'/a': ACCOUNT, '/b': ACCOUNT},
                'it is already defined in branch /a',
            ),
            ({'/A': ''}, 'is not a branch path'),
            ({'/': '[account]\nkey_sha256 = 1\n'}, 'the section has no name'),
            ({'/': SERVICE + 'time_limit = 999999'}, 'above longest'),
            (
                {'/': SERVICE + 'idempotent = get'},
                "'get' is not an HTTP method",
            ),
            ({'/': '[policy]\nshort_tokens = 100000\n'}, 'not below'),
            (
                {
                    '/': '[policy]\nlong_tokens = 9000\n',
                    '/a': '[policy]\nshort_tokens = 9000\n',
                },
                'not below',
            ),
            ({'/': '[policy]\nretry_share = nan\n'}, 'out of range'),
            ({'/': 'x' * 300_000}, 'over 262144 bytes'),
        )
        for text_by_path, expected in cases:
            with self.subTest(expected=expected):
                shown = [str(found) for found in check_tree(text_by_path)]
                self.assertTrue(any(expected in line for line in shown), shown)

    def test_valid_tree_has_no_problems(self):
        tree = {'/': ACCOUNT, '/tillery': SERVICE, '/tillery/night': ''}
        self.assertEqual(check_tree(tree), [])

    def test_covers(self):
        for path, other, expected in (
            ('/', '/a', True),
            ('/a', '/a/b', True),
            ('/a', '/ab', False),
            ('/a/b', '/a', False),
        ):
            with self.subTest(path=path, other=other):
                self.assertEqual(covers(path, other), expected)


class SchemaTest(unittest.TestCase):
    def test_defaults_satisfy_their_rules(self):
        for name in ('PolicySettings', 'ServiceSettings', 'EntrySection'):
            with self.subTest(name=name):
                message = getattr(settings_pb2, name)()
                fill_defaults(message)
