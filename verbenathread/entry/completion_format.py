"""Response bodies of /v1/chat/completions and /v1/completions."""

import json
from collections.abc import Sequence
from typing import Any, NamedTuple

from verbenathread.entry.engine_client import Finish, TokenChunk
from verbenathread.entry.model_call import ModelCall

EVENT_STREAM_TYPE = 'text/event-stream'
_DONE_EVENT = b'data: [DONE]\n\n'
_TEXT_PLACEHOLDER = '@'
_FINISH_REASON = 'finish_reason'


class CompletionFormat(NamedTuple):
    """Encodes one response; what all its chunks share is encoded once."""

    call: ModelCall
    completion_id: str
    # Seconds since the epoch.
    created: int
    before_text: bytes
    after_text: bytes

    @classmethod
    def for_call(
        cls, call: ModelCall, request_id: str, created: int
    ) -> 'CompletionFormat':
        """Prepare the response to one call."""
        prefix = 'chatcmpl' if call.chat else 'cmpl'
        completion_id = f'{prefix}-{request_id}'
        choice: dict[str, Any] = {'index': 0, _FINISH_REASON: None}
        if call.chat:
            choice['delta'] = {'content': _TEXT_PLACEHOLDER}
        else:
            choice['text'] = _TEXT_PLACEHOLDER
        fields = _fields(call, completion_id, created, stream=True)
        # The placeholder comes last: rpartition finds it even if another
        # member contains the same text.
        fields['choices'] = [choice]
        before, _, after = (
            json.dumps(fields)
            .encode()
            .rpartition(f'"{_TEXT_PLACEHOLDER}"'.encode())
        )
        return cls(
            call,
            completion_id,
            created,
            b'data: %b' % before,
            b'%b\n\n' % after,
        )

    def stream_start(self) -> bytes:
        """Return the first event of a stream, empty for completions."""
        if not self.call.chat:
            return b''
        return self._event({'role': 'assistant', 'content': ''}, None)

    def stream_chunks(self, chunks: Sequence[TokenChunk]) -> bytes:
        """Return one server-sent event for each chunk."""
        parts = []
        for chunk in chunks:
            parts.append(self.before_text)
            parts.append(json.dumps(chunk.text).encode())
            parts.append(self.after_text)
        return b''.join(parts)

    def stream_end(self, finish: Finish) -> bytes:
        """Return the final events of a complete stream."""
        blocks = [self._event({}, finish.reason)]
        if self.call.include_usage:
            fields = _fields(
                self.call, self.completion_id, self.created, stream=True
            )
            fields['choices'] = []
            fields['usage'] = _usage(finish)
            blocks.append(b'data: %b\n\n' % json.dumps(fields).encode())
        blocks.append(_DONE_EVENT)
        return b''.join(blocks)

    def full_body(self, text: str, finish: Finish) -> bytes:
        """Return the body of a response that is not streamed."""
        fields = _fields(
            self.call, self.completion_id, self.created, stream=False
        )
        choice: dict[str, Any] = {
            'index': 0,
            _FINISH_REASON: finish.reason,
            'logprobs': None,
        }
        if self.call.chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        fields['choices'] = [choice]
        fields['usage'] = _usage(finish)
        return json.dumps(fields).encode()

    def _event(self, delta: dict[str, Any], reason: str | None) -> bytes:
        fields = _fields(
            self.call, self.completion_id, self.created, stream=True
        )
        choice: dict[str, Any] = {'index': 0, _FINISH_REASON: reason}
        if self.call.chat:
            choice['delta'] = delta
        else:
            choice['text'] = ''
        fields['choices'] = [choice]
        return b'data: %b\n\n' % json.dumps(fields).encode()


def error_event(content: bytes) -> bytes:
    """Return an error as an event of a stream that has started."""
    return b'data: %b\n\n' % content


def _fields(
    call: ModelCall, completion_id: str, created: int, *, stream: bool
) -> dict[str, Any]:
    kind = 'text_completion'
    if call.chat:
        kind = 'chat.completion.chunk' if stream else 'chat.completion'
    return {
        'id': completion_id,
        'object': kind,
        'created': created,
        'model': call.model,
    }


def _usage(finish: Finish) -> dict[str, int]:
    return {
        'prompt_tokens': finish.prompt_tokens,
        'completion_tokens': finish.output_tokens,
        'total_tokens': finish.prompt_tokens + finish.output_tokens,
    }
