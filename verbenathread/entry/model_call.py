"""A caller's call of a model: checked, and ready to be sent to an engine."""

import hashlib
import http
import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from verbenathread.entry.error_responses import HttpError

# Bytes of prompt text whose hash names one prefix; 1024 tokens or so.
_PREFIX_BLOCK = 4096
_MOST_PREFIXES = 32
_HASH_BYTES = 8
# Members that engines take as they are; each with the types allowed.
_TYPES_BY_SAMPLING_MEMBER: Mapping[str, tuple[type, ...]] = MappingProxyType(
    {
        'temperature': (int, float),
        'top_p': (int, float),
        'frequency_penalty': (int, float),
        'presence_penalty': (int, float),
        'seed': (int,),
        'stop': (str, list),
        'logit_bias': (dict,),
        'user': (str,),
    }
)
_ROLES = frozenset(('system', 'developer', 'user', 'assistant', 'tool'))

ParseResult = Result['ModelCall', HttpError]


class ModelCall(NamedTuple):
    """What a caller asks of a model."""

    model: str
    # True for /v1/chat/completions, False for /v1/completions.
    chat: bool
    stream: bool
    # Whether a stream ends with a chunk that carries the usage.
    include_usage: bool
    # None when the caller names no limit.
    max_tokens: int | None
    # Bytes of prompt text.
    prompt_bytes: int
    # Hashes of the leading blocks of the prompt, each over all before it.
    prefix_hashes: tuple[int, ...]
    # JSON members for the engine, without braces.
    shared_members: bytes


def parse_call(content: bytes, *, chat: bool) -> ParseResult:
    """Return the call that a body describes, or what is wrong with it."""
    try:
        members = json.loads(content)
    except (ValueError, RecursionError):
        return _wrong('not_json', 'The body is not JSON; send a JSON object.')
    if not isinstance(members, dict):
        return _wrong('not_json', 'The body is no JSON object; send one.')
    fault = _fault(members, chat=chat)
    if fault:
        return _wrong('invalid_value', fault)
    return Ok(_call(members, chat=chat))


def _call(members: Mapping[str, Any], *, chat: bool) -> ModelCall:
    prompt_name = 'messages' if chat else 'prompt'
    prompt = members[prompt_name]
    text = json.dumps(prompt, ensure_ascii=False).encode(errors='replace')
    shared = b'"model": %b, "%b": %b, "sampling": %b' % (
        json.dumps(members['model']).encode(),
        prompt_name.encode(),
        text,
        json.dumps(_sampling(members)).encode(),
    )
    options = members.get('stream_options') or {}
    return ModelCall(
        members['model'],
        chat,
        bool(members.get('stream')),
        bool(options.get('include_usage')),
        _most_tokens(members),
        len(text),
        _prefix_hashes(text),
        shared,
    )


def _sampling(members: Mapping[str, Any]) -> dict[str, Any]:
    found = {}
    for name in _TYPES_BY_SAMPLING_MEMBER:
        if members.get(name) is not None:
            found[name] = members[name]
    return found


def _most_tokens(members: Mapping[str, Any]) -> int | None:
    newer: int | None = members.get('max_completion_tokens')
    older: int | None = members.get('max_tokens')
    return older if newer is None else newer


def _prefix_hashes(text: bytes) -> tuple[int, ...]:
    running = hashlib.blake2b(digest_size=_HASH_BYTES)
    found = []
    last = min(len(text), _PREFIX_BLOCK * _MOST_PREFIXES)
    for start in range(0, last - _PREFIX_BLOCK + 1, _PREFIX_BLOCK):
        running.update(text[start : start + _PREFIX_BLOCK])
        found.append(int.from_bytes(running.digest(), 'big'))
    return tuple(found)


def _fault(members: Mapping[str, Any], *, chat: bool) -> str:
    """Return what is wrong and what to send instead, empty if nothing is."""
    model = members.get('model')
    if not isinstance(model, str) or not model:
        return '"model" is missing; send the name of a model.'
    prompt_fault = (
        _messages_fault(members.get('messages'))
        if chat
        else _prompt_fault(members.get('prompt'))
    )
    return (
        prompt_fault
        or _option_fault(members)
        or _tokens_fault(members, 'max_tokens')
        or _tokens_fault(members, 'max_completion_tokens')
    )


def _messages_fault(messages: Any) -> str:
    if not isinstance(messages, list) or not messages:
        return '"messages" must be a list with at least one message.'
    for message in messages:
        fault = _message_fault(message)
        if fault:
            return fault
    return ''


def _message_fault(message: Any) -> str:
    if not isinstance(message, dict):
        return 'Each message must be an object.'
    role = message.get('role')
    if not isinstance(role, str) or role not in _ROLES:
        return 'Each message must have a known "role".'
    if not isinstance(message.get('content'), (str, list, type(None))):
        return 'The "content" of each message must be a string or a list.'
    return ''


def _prompt_fault(prompt: Any) -> str:
    if not isinstance(prompt, str) or not prompt:
        return '"prompt" must be a string that is not empty.'
    return ''


def _option_fault(members: Mapping[str, Any]) -> str:
    if not isinstance(members.get('stream', False), (bool, type(None))):
        return '"stream" must be true or false.'
    options = members.get('stream_options')
    if options is not None and not isinstance(options, dict):
        return '"stream_options" must be an object.'
    if members.get('n', 1) not in (None, 1):  # noqa: WPS510 may be a list
        return '"n" must be 1; send one request for each answer.'
    for name, types in _TYPES_BY_SAMPLING_MEMBER.items():
        found = members.get(name)
        if found is None:
            continue
        if isinstance(found, bool) or not isinstance(found, types):
            wanted = ' or '.join(kind.__name__ for kind in types)
            return f'"{name}" must be of type {wanted}.'
    return ''


def _tokens_fault(members: Mapping[str, Any], name: str) -> str:
    found = members.get(name)
    if found is None:
        return ''
    if isinstance(found, bool) or not isinstance(found, int) or found < 1:
        return f'"{name}" must be a whole number above zero.'
    return ''


def _wrong(code: str, message: str) -> ParseResult:
    return Error(HttpError(http.HTTPStatus.BAD_REQUEST, code, message))
