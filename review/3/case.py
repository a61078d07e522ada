"""A worker's answer goes on without end, in chunks of one byte.

Two stream requests of about a hundred get such an answer. The clients' bookings
pass through the same gateway to other, sound workers meanwhile.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness

TIMEOUT_S = 0.6
GRACE_S = 0.5
# Bookings a second, and how long the run watches them.
RATE = 20
WATCH_S = 40
FILLER = harness.chunk(b'x') * 1000


# Of about 100 requests, those whose answers have no end.
FAULTY_REQUESTS = frozenset(('note-6', 'note-46'))


class Engine(harness.Worker):
    """Answers two requests with bytes without end."""

    async def stream(self, request, writer, events=6):
        if not harness.TROUBLE or request.attempt_id not in FAULTY_REQUESTS:
            await super().stream(request, writer, events)
            return
        self.record.add('endless answer begins', attempt=request.attempt_id)
        writer.write(harness.stream_head(request))
        sent = 0
        try:
            while True:
                writer.write(FILLER)
                await writer.drain()
                sent += 1000
        finally:
            self.record.add('endless answer ends', body_bytes=sent)


async def book(client, gateway, results):
    answer, took = await client.send(
        gateway, 'GET', '/check/1', wait=TIMEOUT_S + GRACE_S
    )
    results.append((took, answer is not None))


async def write_notes(client, gateway):
    """Send a short prompt now and then."""
    while True:
        await client.send(
            gateway, 'POST', '/note/1', deadline_ms=10000,
            more=client.stream_headers(),
        )
        await asyncio.sleep(0.2)


async def case(record):
    deployment = harness.Deployment(record)
    try:
        deployment.start_all()
        operator = harness.Operator(deployment)
        if await operator.put(harness.base_config(1), 20) is None:
            raise harness.CannotRun('the config was not acknowledged')
        workers = []
        for number in range(6):
            workers.append(
                Engine(
                    deployment, 'draft-desk', f'i-0{number}',
                    f'{deployment.net}.{100 + number}',
                )
            )
        for number in range(3):
            workers.append(
                harness.Worker(
                    deployment, 'cot-ledger', f'l-{number}',
                    f'{deployment.net}.{120 + number}',
                )
            )
        for worker in workers:
            await worker.start()
        await harness.wait_ready(deployment)
        await asyncio.sleep(3)
        # Clients whose hash leads to one gateway.
        gateway = deployment.gateways[0]
        results = []
        booking = []
        notes = asyncio.create_task(
            write_notes(harness.Client(deployment, 'note'), gateway)
        )
        client = harness.Client(deployment, 'check')
        for _ in range(WATCH_S * RATE):
            booking.append(
                asyncio.create_task(book(client, gateway, results))
            )
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(*booking)
        notes.cancel()
        unanswered = [done for took, done in results if took > TIMEOUT_S]
        late = unanswered.count(False)
        record.add(
            'result', bookings=len(results),
            unanswered_at_timeout=len(unanswered), unanswered_later=late,
            gateway_runs=gateway.process.poll() is None,
        )
        print(
            f'{len(results)} bookings, {len(unanswered)} unanswered at the'
            f' timeout of the route, {late} of them half a second later'
        )
        broken = late >= 8 and late > len(unanswered) / 2
        return harness.BROKEN if broken else harness.HELD
    finally:
        deployment.close()


harness.main(Path(__file__).resolve().parent, case)
