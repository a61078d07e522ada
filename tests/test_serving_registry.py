"""Which update of a worker takes effect, in any order of arrival."""

import itertools
import unittest

from verbenathread.directory.machine import DirectoryMachine, encode_worker
from verbenathread.schema import directory_pb2 as messages
from verbenathread.serving.registry import WorkerRegistry
from verbenathread.serving.types import Worker, WorkerState
from verbenathread.types import Address

READY = WorkerState.READY
DRAINING = WorkerState.DRAINING
GONE = WorkerState.GONE


def worker(worker_id='w1', *, born=10, state=READY, port=80, sequence=1):
    return Worker(
        worker_id,
        born,
        sequence,
        state,
        'desk',
        Address('10.0.0.1', port),
        'a',
        8,
    )


class RegistryTest(unittest.TestCase):
    def states(self, registry):
        return {
            known.worker_id: known.state
            for known in registry.worker_by_id.values()
        }

    def test_state_after_updates(self):
        # updates in order, resulting states
        cases = (
            ([worker()], {'w1': READY}),
            ([worker(), worker(state=DRAINING)], {'w1': DRAINING}),
            ([worker(state=DRAINING), worker(sequence=9)], {'w1': DRAINING}),
            ([worker(state=GONE), worker(sequence=9)], {'w1': GONE}),
            ([worker(state=GONE), worker(born=11)], {'w1': READY}),
            ([worker(born=11), worker(state=GONE)], {'w1': READY}),
            ([worker(), worker('w2', born=11)], {'w1': GONE, 'w2': READY}),
            ([worker('w2', born=11), worker()], {'w2': READY}),
            ([worker(), worker('w2', port=81)], {'w1': READY, 'w2': READY}),
            # An address that a worker has left names it no more.
            (
                [worker(), worker(born=11, port=81), worker('w2', born=12)],
                {'w1': READY, 'w2': READY},
            ),
            # The late leave of a worker that was dropped before concerns none
            # of those at its address.
            (
                [worker('w2', born=11), worker(state=GONE)],
                {'w1': GONE, 'w2': READY},
            ),
        )
        for updates, expected in cases:
            with self.subTest(updates=updates):
                registry = WorkerRegistry()
                for update in updates:
                    registry.merge(update)
                self.assertEqual(self.states(registry), expected)

    def test_updates_of_one_incarnation_commute(self):
        incarnation = (
            worker(),
            worker(sequence=2),
            worker(state=DRAINING, sequence=3),
            worker(state=GONE, sequence=4),
        )
        for updates in itertools.permutations(incarnation):
            registry = WorkerRegistry()
            for update in updates:
                registry.merge(update)
            self.assertEqual(self.states(registry), {'w1': GONE})

    def test_dropped_worker_may_register_again(self):
        registry = WorkerRegistry()
        registry.merge(worker())
        self.assertFalse(registry.drop('w1', 9))
        self.assertTrue(registry.drop('w1', 10))
        self.assertTrue(registry.merge(worker(sequence=7)))
        registry.merge(worker(state=DRAINING))
        registry.drop('w1', 10)
        self.assertFalse(registry.merge(worker(sequence=9)))


class MachineTest(unittest.TestCase):
    def put(self, machine, version, body):
        put = messages.PutConfig(version=version, body=body)
        command = messages.DirectoryCommand(put_config=put)
        machine.apply(1, command.SerializeToString())

    def test_highest_version_wins(self):
        machine = DirectoryMachine()
        updates = (
            (3, b'c'),
            (1, b'a'),
            (3, b'x'),
            (7, b'g'),
            (7, b'x'),
            (5, b'e'),
        )
        for version, body in updates:
            self.put(machine, version, body)
        self.assertEqual(machine.config_version, 7)
        self.assertEqual(machine.config_body, b'g')

    def test_snapshot_round_trip(self):
        machine = DirectoryMachine()
        self.put(machine, 4, b'body')
        for update in (worker(), worker('w2', port=81, state=DRAINING)):
            command = messages.DirectoryCommand(
                put_worker=encode_worker(update)
            )
            machine.apply(2, command.SerializeToString())
        other = DirectoryMachine()
        other.restore(machine.snapshot())
        self.assertEqual(other.config_body, b'body')
        self.assertEqual(
            other.registry.worker_by_id, machine.registry.worker_by_id
        )
