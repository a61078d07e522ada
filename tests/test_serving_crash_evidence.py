"""Which parts of prompts are found from crashes and complete answers."""

import unittest
from typing import NamedTuple

from verbenathread.serving.crash_evidence import Crash, CrashEvidence


class Step(NamedTuple):
    """A crash of a worker, or a complete answer if no worker is named."""

    at: int
    parts: str
    worker: str = ''


def crashes(count, parts, interval=500, first=0, prefix='w'):
    """Return crashes of different workers under the same parts."""
    moments = range(first, first + count * interval, interval)
    return tuple(Step(at, parts, f'{prefix}{at}') for at in moments)


R1 = 'request:1'
R2 = 'request:2'
# name, steps, the groups that are found in turn
CASES = (
    ('the fourth crash', crashes(3, 'b'), ()),
    ('four crashes', crashes(4, 'b'), ('b',)),
    ('the same worker', (Step(0, 'b', 'w'),) * 6, ()),
    ('all at one moment', crashes(8, 'b', interval=5), ()),
    ('five workers at two moments', crashes(5, 'b', interval=30), ('b',)),
    ('four workers at two moments', crashes(4, 'b', interval=40), ()),
    ('within minutes', crashes(4, 'b', interval=120_000), ('b',)),
    ('too long ago', crashes(4, 'b', interval=400_000), ()),
    (
        'a part that is completed in between',
        (*crashes(6, 'a', interval=300), Step(700, 'a')),
        (),
    ),
    (
        'the part that is not completed',
        (*crashes(3, 'a b'), Step(1200, 'a'), Step(1500, 'a b', 'w9')),
        ('b',),
    ),
    ('parts that always come together', crashes(4, 'a b'), ('a b',)),
    (
        'the one part of several prompts',
        (*crashes(2, 'a b'), *crashes(2, 'c b', first=1000, prefix='v')),
        ('b',),
    ),
    (
        'a group that a complete answer tells apart',
        (
            *crashes(4, 'a b'),
            Step(2100, 'a'),
            *crashes(2, 'c b', first=2200, prefix='v'),
        ),
        ('a b', 'b'),
    ),
    (
        'sound prompts at workers that crash under others',
        (
            *crashes(4, 'b'),
            *crashes(3, 's'),
        ),
        ('b',),
    ),
    (
        'two parts of different prompts at the same workers',
        (*crashes(4, 'b'), *crashes(4, 's'), Step(2000, 'b', 'w9')),
        ('b',),
    ),
    (
        'most crashes among parts of different workers',
        (
            *crashes(4, 'x', prefix='x'),
            *crashes(4, 'y', first=3, prefix='y'),
            *crashes(4, 'z', first=6, prefix='z'),
            Step(1509, 'z', 'z9'),
        ),
        ('z',),
    ),
    (
        'parts that meet once, at different workers',
        (
            *crashes(3, 'x', prefix='x'),
            *crashes(3, 'y', first=3, prefix='y'),
            Step(1500, 'x y', 'w9'),
        ),
        (),
    ),
    ('the second crash under a request', crashes(2, R1), ()),
    ('three crashes under a request', crashes(3, R1), (R1,)),
    ('a request at one moment', crashes(6, R1, interval=5), ()),
    (
        'a request that is completed in between',
        (
            *crashes(2, R1),
            Step(800, R1),
            *crashes(2, R1, first=1000),
        ),
        (),
    ),
    (
        'a request beside one that died with it',
        (*crashes(3, R1), *crashes(2, R2)),
        (R1,),
    ),
    (
        'two requests that died together until the last crash',
        (*crashes(3, R1), *crashes(3, R2), Step(1500, R1, 'w9')),
        (R1,),
    ),
    (
        'two requests at different workers',
        (
            *crashes(3, R1),
            *crashes(3, R2, first=3, prefix='v'),
            Step(1600, 'a'),
        ),
        (R1, R2),
    ),
    (
        'a part of several requests, one of which is found first',
        (
            *crashes(3, f'b {R1}'),
            *crashes(1, f'b {R2}', first=1600, prefix='v'),
        ),
        (R1, 'b'),
    ),
    (
        'prompts without shared parts',
        crashes(6, ''),
        (),
    ),
)


class CrashEvidenceTest(unittest.TestCase):
    def test_found_groups(self):
        for name, steps, expected in CASES:
            with self.subTest(name):
                self.assertEqual(
                    play(steps),
                    [frozenset(group.split()) for group in expected],
                )

    def test_a_found_group_explains_its_crashes(self):
        evidence = CrashEvidence()
        group = frozenset(('b',))
        for number in range(6):
            crash = Crash((f'w{number}', 1), number * 500, frozenset(('b',)))
            evidence.record_crash(crash, [group])
            sound = Crash((f'w{number}', 1), number * 500, frozenset(('s',)))
            evidence.record_crash(sound, [group])
        self.assertIsNone(evidence.find(3000, [group]))

    def test_one_crash_on_probation_finds_a_request_again(self):
        crash = Crash(('w1', 1), 500, frozenset((R1,)))
        for request, found in ((R2, None), (R1, crash.parts)):
            with self.subTest(request=request):
                evidence = CrashEvidence()
                evidence.record_crash(crash, [])
                on_probation = [frozenset((request,))]
                self.assertEqual(evidence.find(1000, [], on_probation), found)

    def test_memory_is_bounded(self):
        evidence = CrashEvidence()
        for number in range(20_000):
            parts = frozenset((f'p{number}',))
            evidence.record_completion(parts, number)
            evidence.record_crash(Crash((f'w{number}', 1), number, parts), [])
        self.assertLessEqual(len(evidence._completed_at_by_part), 4096)
        self.assertLessEqual(len(evidence._crashes), 256)


def play(steps):
    """Apply the steps in order of time; return what is found in turn."""
    evidence = CrashEvidence()
    found = []
    ordered = sorted(steps, key=lambda step: step.at)
    for number, step in enumerate(ordered):
        parts = frozenset(step.parts.split())
        if step.worker:
            crash = Crash((step.worker, 1), step.at, parts)
            evidence.record_crash(crash, found)
        else:
            evidence.record_completion(parts, step.at)
        following = ordered[number + 1 : number + 2]
        if following and following[0].at - step.at < 50:
            # Crashes are judged once all sends that they ended are known.
            continue
        group = evidence.find(step.at + 50, found)
        if group is not None:
            found.append(group)
    return found
