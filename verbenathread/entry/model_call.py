"""Parses and validates callers' requests to models."""

import hashlib
import http
import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from verbenathread.entry.error_responses import HttpError

# Bytes of prompt text per prefix hash, about 1024 tokens.
_PREFIX_BLOCK_BYTES = 4096
_MAX_PREFIXES = 32
_HASH_BYTES = 8
# Members passed to engines unchanged, with the types allowed for each.
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
    """A validated request to a model."""

    model: str
    # True for /v1/chat/completions, False for /v1/completions.
    chat: bool
    stream: bool
    # Whether a stream ends with a chunk that contains the token usage.
    include_usage: bool
    # None if the caller sets no limit.
    max_tokens: int | None
    # Bytes of prompt text.
    prompt_bytes: int
    # Hash of each leading part of the prompt, in whole blocks.
    prefix_hashes: tuple[int, ...]
    # JSON members of the engine's request, without the enclosing braces.
    shared_members: bytes


def parse_call(content: bytes, *, chat: bool) -> ParseResult:
    """Parse a request body into a call, or return the error response."""
    try:
        members = json.loads(content)
    except (ValueError, RecursionError):
        return _bad_request(
            'not_json', 'The body is not JSON; send a JSON object.'
        )
    if not isinstance(members, dict):
        return _bad_request('not_json', 'The body must be a JSON object.')
    error = _validation_error(members, chat=chat)
    if error:
        return _bad_request('invalid_value', error)
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
        _max_tokens(members),
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


def _max_tokens(members: Mapping[str, Any]) -> int | None:
    newer: int | None = members.get('max_completion_tokens')
    older: int | None = members.get('max_tokens')
    return older if newer is None else newer


def _prefix_hashes(text: bytes) -> tuple[int, ...]:
    running = hashlib.blake2b(digest_size=_HASH_BYTES)
    found = []
    last = min(len(text), _PREFIX_BLOCK_BYTES * _MAX_PREFIXES)
    for start in range(0, last - _PREFIX_BLOCK_BYTES + 1, _PREFIX_BLOCK_BYTES):
        running.update(text[start : start + _PREFIX_BLOCK_BYTES])
        found.append(int.from_bytes(running.digest(), 'big'))
    return tuple(found)


def _validation_error(members: Mapping[str, Any], *, chat: bool) -> str:
    """Return what is wrong with a request, or an empty string."""
    model = members.get('model')
    if not isinstance(model, str) or not model:
        return '"model" is missing; send the name of a model.'
    prompt_error = (
        _messages_error(members.get('messages'))
        if chat
        else _prompt_error(members.get('prompt'))
    )
    return (
        prompt_error
        or _options_error(members)
        or _tokens_error(members, 'max_tokens')
        or _tokens_error(members, 'max_completion_tokens')
    )


def _messages_error(messages: Any) -> str:
    if not isinstance(messages, list) or not messages:
        return '"messages" must be a list with at least one message.'
    for message in messages:
        error = _message_error(message)
        if error:
            return error
    return ''


def _message_error(message: Any) -> str:
    if not isinstance(message, dict):
        return 'Each message must be an object.'
    role = message.get('role')
    if not isinstance(role, str) or role not in _ROLES:
        return 'Each message must have a known "role".'
    if not isinstance(message.get('content'), (str, list, type(None))):
        return 'The "content" of each message must be a string or a list.'
    return ''


def _prompt_error(prompt: Any) -> str:
    if not isinstance(prompt, str) or not prompt:
        return '"prompt" must be a string that is not empty.'
    return ''


def _options_error(members: Mapping[str, Any]) -> str:
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


def _tokens_error(members: Mapping[str, Any], name: str) -> str:
    found = members.get(name)
    if found is None:
        return ''
    if isinstance(found, bool) or not isinstance(found, int) or found < 1:
        return f'"{name}" must be a positive integer.'
    return ''


def _bad_request(code: str, message: str) -> ParseResult:
    return Error(HttpError(http.HTTPStatus.BAD_REQUEST, code, message))
