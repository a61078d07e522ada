"""The two deployments of the demo, as described in examples/."""

from pathlib import Path
from typing import NamedTuple

from tools.processes import ROOT

_ENTRY_PORT = 18080
_METRICS_PORT = 18082
_CONTROL_PORT = 18090
_ENGINE_PORT = 18100
_SERVICE_PORT = 18200
# Options of the engine stand-ins; rates are in tokens per second.
_ENGINE_OPTIONS = (
    '--memory-tokens', '400000',
    '--prefill-rate', '1000000',
    '--decode-rate', '400',
    '--answer-tokens', '40',
    '--fencing', 'checked',
)  # fmt: skip


class Deployment(NamedTuple):
    """A deployment: its files, addresses, services and sample keys."""

    name: str
    folder: Path
    # Addresses of the VMs, one in each data centre.
    ips: tuple[str, ...]
    data_centres: tuple[str, ...]
    model: str
    booking_service: str
    booking_path: str
    account: str
    # Path of each branch and the name of the file with its text.
    branch_files: tuple[tuple[str, str], ...]

    def entry(self, number: int) -> str:
        """Return the address for callers of one entry, from 1."""
        return f'{self.ips[number - 1]}:{_ENTRY_PORT}'

    def metrics(self, number: int) -> str:
        """Return the metrics address of one entry, from 1."""
        return f'{self.ips[number - 1]}:{_METRICS_PORT}'

    def control(self) -> str:
        """Return the addresses of the control group, comma separated."""
        return ','.join(f'{ip}:{_CONTROL_PORT}' for ip in self.ips)

    def account_key(self) -> str:
        """Return the sample bearer key of the account that calls."""
        return f'{self.account}-sample-key'

    def root_key(self) -> str:
        """Return the sample key of the root operator."""
        return f'{self.name}-sample-root-key'

    def engine_command(self, number: int) -> tuple[str, ...]:
        """Return the command of one engine stand-in, from 1."""
        return (
            'tests.standins.engine',
            *self._upstream_options(number, _ENGINE_PORT, self.model),
            *_ENGINE_OPTIONS,
        )

    def service_command(self, number: int) -> tuple[str, ...]:
        """Return the command of one booking stand-in, from 1."""
        return (
            'tests.standins.service',
            *self._upstream_options(
                number, _SERVICE_PORT, self.booking_service
            ),
        )

    def _upstream_options(
        self, number: int, port: int, service: str
    ) -> tuple[str, ...]:
        entries = ','.join(self.entry(count) for count in (1, 2, 3))
        options = (
            '--listen', f'{self.ips[number - 1]}:{port}',
            '--entry', entries,
            '--service', service,
            '--announce-key', f'{service}-announce-key',
            '--id', f'{service}-{number}',
            '--data-centre', self.data_centres[number - 1],
        )  # fmt: skip
        return options


TILLERY = Deployment(
    name='tillery',
    folder=ROOT / 'examples' / 'tillery',
    ips=('127.0.1.1', '127.0.2.1', '127.0.3.1'),
    data_centres=('jackson-ms', 'mobile-al', 'shreveport-la'),
    model='draft-desk',
    booking_service='cot-ledger',
    booking_path='/services/cot-ledger/holds',
    account='hotline',
    branch_files=(
        ('/', 'root.ini'),
        ('/placement', 'placement.ini'),
        ('/beds', 'beds.ini'),
    ),
)
FBIS = Deployment(
    name='fbis',
    folder=ROOT / 'examples' / 'fbis',
    ips=('127.0.11.1', '127.0.12.1', '127.0.13.1'),
    data_centres=('be-central-a', 'be-central-b', 'be-central-c'),
    model='triage-model',
    booking_service='booking-desk',
    booking_path='/services/booking-desk/slots',
    account='homeowner-line',
    branch_files=(
        ('/', 'root.ini'),
        ('/dispatch', 'dispatch.ini'),
        ('/bookings', 'bookings.ini'),
    ),
)
DEPLOYMENTS = (TILLERY, FBIS)
