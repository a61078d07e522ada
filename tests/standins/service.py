"""A booking service for tests: counts runs by key and injects faults."""

import threading
import time

from tests.standins.serving import JsonHandler, serve, serving_parser


class Bookings:
    """The number of runs of each key, and the faults left to inject."""

    def __init__(self, options):
        self.options = options
        self.runs_by_key = {}
        # Keys of all calls received, in order.
        self.received = []
        self.lock = threading.Lock()
        self.faults_left = options.faults

    def take_fault(self, name):
        """Return whether to inject the fault ``name`` now; use it up."""
        with self.lock:
            if self.options.fault != name or not self.faults_left:
                return False
            self.faults_left -= 1
            return True

    def run(self, key):
        with self.lock:
            self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
            return self.runs_by_key[key]


class BookingHandler(JsonHandler):
    """POST /holds books; GET /holds returns the runs by key."""

    bookings: Bookings

    def do_GET(self):
        if self.bookings.take_fault('drop-get'):
            self.abort()
            return
        self.answer(
            {
                'runs_by_key': self.bookings.runs_by_key,
                'came': self.bookings.received,
            }
        )

    def do_POST(self):
        self.read_body()
        if self.bookings.take_fault('die-before'):
            self.abort()
            return
        key = self.headers.get('Idempotency-Key', 'no-key')
        self.bookings.received.append(key)
        if self.bookings.options.slow:
            time.sleep(self.bookings.options.slow)
        runs = self.bookings.run(key)
        if self.bookings.take_fault('die-after'):
            self.abort()
            return
        self.answer({'booked': key, 'runs': runs}, 201)

    def answer(self, members, status=200):
        attempt_id = self.headers.get('X-Attempt-Id', '')
        if self.bookings.take_fault('cross'):
            attempt_id = 'another-attempt'
        self.reply(members, status, (('X-Attempt-Id', attempt_id),))


def service_parser():
    parser = serving_parser(__doc__)
    parser.add_argument('--service', default='cot-ledger')
    # Seconds that each booking takes.
    parser.add_argument('--slow', type=float, default=0)
    # Abort before or after the booking, abort a GET, or answer with the
    # identifier of another attempt.
    parser.add_argument(
        '--fault',
        choices=('none', 'die-before', 'die-after', 'drop-get', 'cross'),
        default='none',
    )
    # How many calls get the fault.
    parser.add_argument('--faults', type=int, default=1)
    return parser


def service_handler(options):
    """Return the handler class of a new service."""
    return type('Handler', (BookingHandler,), {'bookings': Bookings(options)})


def main():
    options = service_parser().parse_args()
    serve(service_handler(options), options, {})


if __name__ == '__main__':
    main()
