"""A worker sends a second copy of a refusal late, on a connection in use again.

A helper of a long prompt goes dark, so the worker that has the prompt refuses
it, and names the helper. The gateway sends the prompt to the same worker again,
with other helpers. That worker sends a second copy of its refusal before it
runs the prompt. The route's streams can't be resumed.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness

ENGINES = 8
EPISODES = 6
PREFILL_S = 0.25
STALL_S = 1.5
DARK_S = 4.5
LONG_TOKENS = 133_000
PROMISES = frozenset((408, 421, 429, 503))


class Engine(harness.Worker):
    """A worker that reads long prompts with the help of others."""

    by_address = {}
    # The attempts whose prompt an engine began to write, by first token.
    ran = []
    # Those that helped with the last long prompt.
    last_helpers = []
    is_dark = False

    async def start(self, port=0):
        await super().start(port)
        self.by_address[self.address] = self

    async def go_dark(self, duration):
        """Answer nothing and send nothing for a while."""
        self.record.add('dark', worker=self.worker_id)
        self.is_dark = True
        self._pinging.cancel()
        await asyncio.sleep(duration)
        self.is_dark = False
        self._pinging = asyncio.create_task(self._ping())
        self.record.add('back', worker=self.worker_id)

    async def _answer(self, request, writer):
        while self.is_dark:
            await asyncio.sleep(0.05)
        if request.target == '/log/1':
            Engine.last_helpers = self._helpers(request)
        helper = self._dark_helper(request)
        if helper is not None:
            await self._refuse(request, writer, helper)
            return
        await super()._answer(request, writer)

    async def stream(self, request, writer, events=6):
        """Read the prompt, then write the events."""
        late_copy = getattr(writer, 'refusal', b'')
        writer.refusal = b''
        if request.target == '/log/1':
            await asyncio.sleep(PREFILL_S)
        self.ran.append(request.attempt_id)
        self.record.add(
            'first token', worker=self.worker_id, attempt=request.attempt_id
        )
        if late_copy:
            self.record.add('second copy', worker=self.worker_id)
            writer.write(late_copy)
        await super().stream(request, writer, events)

    def _helpers(self, request):
        """Return the engines that help with a request."""
        engines = []
        for entry in request.headers.get('helpers', '').split(','):
            engine = self.by_address.get(entry.partition('/')[0].strip())
            if engine is not None:
                engines.append(engine)
        return engines

    def _dark_helper(self, request):
        """Return the address of a helper that is dark, if there is one."""
        for engine in self._helpers(request):
            if engine.is_dark:
                return engine.address
        return None

    async def _refuse(self, request, writer, helper):
        """Refuse a prompt that waits for a helper that is dark."""
        await asyncio.sleep(STALL_S)
        refusal = (
            'HTTP/1.1 503 Service Unavailable\r\n'
            f'Attempt-Id: {request.attempt_id}\r\n'
            f'Not-Executed: 1\r\nAt-Server: {helper}\r\n'
            'Content-Length: 0\r\n\r\n'
        ).encode()
        self.record.add(
            'refusal', worker=self.worker_id, attempt=request.attempt_id,
            at_server=helper,
        )
        writer.write(refusal)
        # Sent once more, late, if the connection is used again.
        writer.refusal = refusal


async def send_notes(client, gateway):
    """Send short prompts, whose answers are sound."""
    pending = set()
    while True:
        task = asyncio.create_task(
            client.send(
                gateway, 'POST', '/note/1', deadline_ms=10000,
                more=client.stream_headers(),
            )
        )
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(0.1)


async def case(record):
    deployment = harness.Deployment(record)
    try:
        deployment.start_all()
        config = harness.base_config(1)
        config['routes'].append(
            harness.route(
                'log', '/log/', 'streaming', 'draft-desk',
                **{
                    'timeout-ms': 15000, 'target-latency-ms': 2500,
                    'sticky': True, 'resumable': False,
                    'target-gap-ms': 1000, 'attempts': 2,
                },
            )
        )
        if await harness.Operator(deployment).put(config, 20) is None:
            raise harness.CannotRun('the config was not acknowledged')
        engines = []
        for number in range(ENGINES):
            engine = Engine(
                deployment, 'draft-desk', f'd-{number}',
                f'{deployment.net}.{100 + number}',
            )
            await engine.start()
            engines.append(engine)
        await harness.wait_ready(deployment)
        await asyncio.sleep(4)
        gateway = deployment.gateways[0]
        notes = asyncio.create_task(
            send_notes(harness.Client(deployment, 'note'), gateway)
        )
        client = harness.Client(deployment, 'log')
        status_by_attempt = {}
        for number in range(1, EPISODES + 1):
            if harness.TROUBLE and Engine.last_helpers:
                dark = Engine.last_helpers[0]
                darkness = asyncio.create_task(dark.go_dark(DARK_S))
                await asyncio.sleep(0.05)
            answer, _ = await client.send(
                gateway, 'POST', '/log/1', deadline_ms=15000,
                more=client.stream_headers(LONG_TOKENS),
            )
            status_by_attempt[f'log-{number}'] = (
                None if answer is None else answer.status
            )
            if harness.TROUBLE and number > 1:
                await darkness
            await asyncio.sleep(2)
        notes.cancel()
        false_promises = [
            attempt
            for attempt, status in status_by_attempt.items()
            if status in PROMISES and attempt in Engine.ran
        ]
        record.add(
            'result', statuses=status_by_attempt, false_promises=false_promises
        )
        print(
            f'{len(status_by_attempt)} long prompts; refused as not run though'
            f' they have run: {false_promises}'
        )
        return harness.BROKEN if false_promises else harness.HELD
    finally:
        deployment.close()


harness.main(Path(__file__).resolve().parent, case)
