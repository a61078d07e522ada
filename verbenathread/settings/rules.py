"""The schema's rules for options, and the checks that apply them."""

import math
import re
from collections.abc import Iterator
from types import MappingProxyType
from typing import Any, NamedTuple

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from verbenathread.schema import settings_pb2

_TRUE_WORDS = frozenset(('yes', 'true', 'on', '1'))
_FALSE_WORDS = frozenset(('no', 'false', 'off', '0'))
_MILLISECONDS = 'ms'
# A duration in ms may also be written with one of these units.
_MS_BY_UNIT = MappingProxyType({'': 1, 'ms': 1, 's': 1000})
_INTEGER_TYPES = frozenset(
    (
        FieldDescriptor.TYPE_UINT32,
        FieldDescriptor.TYPE_UINT64,
    )
)


class Problem(NamedTuple):
    """One error in a settings text, and how to fix it."""

    source: str
    section: str
    option: str
    message: str
    remedy: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        place = f'[{self.section}]' if self.section else ''
        if self.option:
            place = f'{place} {self.option}'.strip()
        return f'{self.source}: {place}: {self.message}; {self.remedy}'


class BadValueError(ValueError):
    """A value violates its option's rule; ``remedy`` says how to fix it."""

    def __init__(self, message: str, remedy: str) -> None:
        """Store the message and the remedy."""
        super().__init__(message)
        self.remedy = remedy


class Option(NamedTuple):
    """One option of a section: its name, field and rule."""

    name: str
    field: FieldDescriptor
    rule: settings_pb2.Rule

    def value_description(self) -> str:
        """Return a readable description of the accepted values."""
        if self.rule.choices:
            return f'one of {", ".join(self.rule.choices)}'
        if self.field.type == FieldDescriptor.TYPE_BOOL:
            return 'yes or no'
        if self.rule.unit == _MILLISECONDS:
            return 'duration'
        if self.field.type in _INTEGER_TYPES:
            return 'whole number'
        if self.field.type == FieldDescriptor.TYPE_DOUBLE:
            return 'number'
        return 'text'


def section_of(message: Message) -> settings_pb2.Section:
    """Return the section options that the schema declares for a message."""
    # The generated stubs have no types for the extensions of options.
    extensions: Any = message.DESCRIPTOR.GetOptions().Extensions
    section: settings_pb2.Section = extensions[settings_pb2.section]
    return section


def options_of(message: Message) -> Iterator[Option]:
    """Yield the options of one section in schema order."""
    fields: Any = message.DESCRIPTOR.fields
    for field in fields:
        rule = field.GetOptions().Extensions[settings_pb2.rule]
        yield Option(field.name, field, rule)


def fill_defaults(target: Message) -> None:
    """Set every option of a section message that has a default."""
    for option in options_of(target):
        if option.rule.default_text:
            set_option(target, option, option.rule.default_text)


def set_option(target: Message, option: Option, text: str) -> None:
    """Validate ``text`` and set the option on ``target``.

    Raises :class:`BadValueError` if ``text`` is invalid.
    """
    setattr(target, option.name, _convert(option, text.strip()))


def _convert(option: Option, text: str) -> Any:
    rule = option.rule
    if rule.choices and text not in rule.choices:
        raise BadValueError(
            f'{text!r} is not a valid choice',
            f'write {option.value_description()}',
        )
    if option.field.type == FieldDescriptor.TYPE_BOOL:
        return _convert_bool(text)
    if option.field.type == FieldDescriptor.TYPE_STRING:
        return _convert_string(option, text)
    return _convert_number(option, text)


def _convert_bool(text: str) -> bool:
    word = text.lower()
    if word in _TRUE_WORDS:
        return True
    if word in _FALSE_WORDS:
        return False
    raise BadValueError(f'{text!r} is neither yes nor no', 'write yes or no')


def _convert_string(option: Option, text: str) -> str:
    pattern = option.rule.pattern
    if pattern and re.fullmatch(pattern, text) is None:
        shown = '(not shown)' if option.rule.secret else repr(text)
        raise BadValueError(
            f'{shown} is not valid', f'write a value that matches {pattern}'
        )
    if option.rule.required and not text:
        raise BadValueError(
            'the value is empty', f'write a value ({option.rule.help})'
        )
    return text


def _convert_number(option: Option, text: str) -> int | float:
    rule = option.rule
    unit = f' {rule.unit}' if rule.unit else ''
    remedy = f'write a {option.value_description()} from {rule.least:g} to {rule.most:g}{unit}'
    try:
        number = _parse_number(option, text)
    except ValueError:
        raise BadValueError(
            f'{text!r} is not a {option.value_description()}', remedy
        )
    # Negated so that NaN, which fails every comparison, is rejected too.
    if not rule.least <= number <= rule.most:
        raise BadValueError(f'{text} is out of range', remedy)
    return number


def _parse_number(option: Option, text: str) -> int | float:
    """Return the number in ``text``; raises ValueError if there is none."""
    whole = option.field.type in _INTEGER_TYPES
    if option.rule.unit != _MILLISECONDS:
        return int(text) if whole else float(text)
    digits = text.rstrip('ms ')
    unit = text[len(digits) :].strip()
    if unit not in _MS_BY_UNIT:
        raise ValueError(f'{unit} is not a unit of time')
    duration = float(digits) * _MS_BY_UNIT[unit]
    if not whole or not math.isfinite(duration):
        return duration
    return round(duration)
