"""Tests of model requests through an entry, with the OpenAI client."""

import unittest

import openai

from tests.entry_fakes import CALLER_KEY, FakeEntry
from tests.standins.engine import token_text
from tests.standins.processes import StandIn


def full_text(tokens):
    return ''.join(token_text(position) for position in range(tokens))


class ModelServiceTest(unittest.TestCase):
    def setUp(self):
        self.entry = FakeEntry()
        self.addCleanup(self.entry.stop)
        self.engine = StandIn('engine', '--answer-tokens', '20')
        self.addCleanup(self.engine.kill)
        self.assertEqual(self.engine.announce(self.entry.address), 200)
        self.client = openai.OpenAI(
            base_url=f'{self.entry.url}/v1',
            api_key=CALLER_KEY,
            max_retries=0,
            timeout=20,
        )
        self.addCleanup(self.client.close)

    def test_openai_client(self):
        messages = [{'role': 'user', 'content': 'any cot tonight?'}]
        self.assertEqual(
            [model.id for model in self.client.models.list()], ['draft-desk']
        )
        answer = self.client.chat.completions.create(
            model='draft-desk', messages=messages
        )
        self.assertEqual(answer.choices[0].message.content, full_text(20))
        self.assertEqual(answer.usage.completion_tokens, 20)
        plain = self.client.completions.create(
            model='draft-desk', prompt='any cot?', max_tokens=3
        )
        self.assertEqual(plain.choices[0].text, full_text(3))
        chunks = list(
            self.client.chat.completions.create(
                model='draft-desk',
                messages=messages,
                stream=True,
                stream_options={'include_usage': True},
            )
        )
        text = ''.join(
            chunk.choices[0].delta.content or ''
            for chunk in chunks
            if chunk.choices
        )
        self.assertEqual(text, full_text(20))
        self.assertEqual(chunks[-1].usage.completion_tokens, 20)
        self.assertEqual(self.entry.reservations.opened, 3)
        self.assertEqual(self.entry.reservations.released, 3)
