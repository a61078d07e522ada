"""An entry with in-memory fakes of the other parts, as its own process."""

import argparse
import json
import signal
import sys

from tests.entry_fakes import FakeEntry, FakeReservations
from verbenathread.entry.exchange import Limits
from verbenathread.observability.logs import configure

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--streams', type=int, default=256)
    options = parser.parse_args()
    configure('error', 'json')
    signal.pthread_sigmask(signal.SIG_BLOCK, _STOP_SIGNALS)
    limits = Limits(options.streams, 50_331_648, 16_777_216, 10_000)
    entry = FakeEntry(limits=limits, reservations=FakeReservations)
    sys.stdout.write(json.dumps({'address': str(entry.address)}) + '\n')
    sys.stdout.flush()
    signal.sigwait(_STOP_SIGNALS)
    entry.stop()


if __name__ == '__main__':
    main()
