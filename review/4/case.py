"""The operator takes the last tenant away, with all its keys.

Requests with one of these keys, with another key and without any are sent
after the configuration must be in force.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness

MARGIN_S = 1.0
REQUESTS = 12


async def case(record):
    deployment = harness.Deployment(record)
    try:
        deployment.start_all()
        operator = harness.Operator(deployment)
        if await operator.put(harness.base_config(1), 20) is None:
            raise harness.CannotRun('the config was not acknowledged')
        workers = []
        for number in range(3):
            worker = harness.Worker(
                deployment, 'cot-ledger', f'l-{number}',
                f'{deployment.net}.{120 + number}',
            )
            await worker.start()
            workers.append(worker)
        await harness.wait_ready(deployment)
        await asyncio.sleep(3)
        config = harness.base_config(7)
        if harness.TROUBLE:
            config['tenants'] = []
        else:
            # The tenant stays, and has another key.
            config['tenants'][0]['api-keys'] = ['k-night-2']
        if await operator.put(config, 20) is None:
            raise harness.CannotRun('the config was not acknowledged')
        await asyncio.sleep(
            harness.BOUNDS['config-apply-ms'] / 1000 + MARGIN_S
        )
        ran_before = sum(worker.runs for worker in workers)
        client = harness.Client(deployment, 'hold')
        status_by_key = {}
        for key in (harness.KEY, 'k-never-held', ''):
            statuses = []
            for number in range(REQUESTS):
                gateway = deployment.gateways[number % 2]
                answer, _ = await client.send(
                    gateway, 'POST', '/hold/1', key=key
                )
                statuses.append(None if answer is None else answer.status)
            status_by_key[key or 'none'] = statuses
        ran = sum(worker.runs for worker in workers) - ran_before
        record.add('result', statuses=status_by_key, ran=ran)
        print(
            f'{ran} of {3 * REQUESTS} requests ran with a key that no tenant'
            f' holds, or without one: {status_by_key}'
        )
        return harness.BROKEN if ran else harness.HELD
    finally:
        deployment.close()


harness.main(Path(__file__).resolve().parent, case)
