"""Parsing of INI text into messages of the schema."""

import configparser
import difflib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from google.protobuf.message import Message

from verbenathread.settings.rules import (
    BadValueError,
    Option,
    Problem,
    fill_defaults,
    options_of,
    section_of,
    set_option,
)


class ParsedSection(NamedTuple):
    """One section of INI text: its title, its optional name, its options."""

    title: str
    name: str
    text_by_option: Mapping[str, str]

    def heading(self) -> str:
        """Return the heading as written between the brackets."""
        return f'{self.title} {self.name}'.strip()


class ParsedText(NamedTuple):
    """The sections of INI text, or the problem that prevented parsing."""

    sections: tuple[ParsedSection, ...]
    problems: tuple[Problem, ...]


def parse_ini(source: str, text: str) -> ParsedText:
    """Split INI text into sections; problems refer to it as ``source``."""
    parser = configparser.ConfigParser(
        strict=True, interpolation=None, default_section='(none)'
    )
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        return ParsedText((), (_syntax_problem(source, error),))
    sections = []
    for heading in parser.sections():
        title, _, name = heading.partition(' ')
        options = dict(parser.items(heading))
        sections.append(ParsedSection(title, name.strip(), options))
    return ParsedText(tuple(sections), ())


def fill_section(
    source: str, section: ParsedSection, target: Message
) -> list[Problem]:
    """Set the defaults and then the section's options on ``target``.

    Returns every problem found; ``target`` is valid only if there is none.
    """
    fill_defaults(target)
    option_by_name = {option.name: option for option in options_of(target)}
    problems = []
    for name, text in section.text_by_option.items():
        option = option_by_name.get(name)
        if option is None:
            problems.append(
                _unknown_option_problem(source, section, name, option_by_name)
            )
            continue
        try:
            set_option(target, option, text)
        except BadValueError as error:
            problems.append(
                Problem(
                    source, section.heading(), name, str(error), error.remedy
                )
            )
    problems.extend(
        _missing_option_problems(source, section, option_by_name.values())
    )
    return problems


def unknown_section_problem(
    source: str, section: ParsedSection, titles: Iterable[str]
) -> Problem:
    """Return the problem of a section that the schema does not define."""
    known = sorted(titles)
    return Problem(
        source,
        section.heading(),
        '',
        'unknown section',
        _suggestion(section.title, known, 'write one of'),
    )


def check_section_name(
    source: str, section: ParsedSection, target: Message
) -> Problem | None:
    """Return a problem if the name is missing or not allowed."""
    named = section_of(target).named
    if named and not section.name:
        message = 'the section has no name'
        remedy = f'write [{section.title} NAME]'
    elif section.name and not named:
        message = 'the section takes no name'
        remedy = f'write [{section.title}]'
    else:
        return None
    return Problem(source, section.heading(), '', message, remedy)


def _missing_option_problems(
    source: str, section: ParsedSection, options: Iterable[Option]
) -> list[Problem]:
    problems = []
    for option in options:
        if not option.rule.required:
            continue
        if option.name in section.text_by_option:
            continue
        problems.append(
            Problem(
                source,
                section.heading(),
                option.name,
                'the option is missing',
                f'add "{option.name} = ..." ({option.rule.help})',
            )
        )
    return problems


def _unknown_option_problem(
    source: str, section: ParsedSection, name: str, known: Iterable[str]
) -> Problem:
    return Problem(
        source,
        section.heading(),
        name,
        'unknown option',
        _suggestion(name, sorted(known), 'remove it or write one of'),
    )


def _suggestion(word: str, known: list[str], otherwise: str) -> str:
    close = difflib.get_close_matches(word, known, n=1)
    if close:
        return f'write {close[0]}'
    return f'{otherwise}: {", ".join(known)}'


def _syntax_problem(source: str, error: configparser.Error) -> Problem:
    if isinstance(error, configparser.DuplicateOptionError):
        return Problem(
            source,
            error.section,
            error.option,
            f'the option is repeated in line {error.lineno}',
            'keep one of the two',
        )
    if isinstance(error, configparser.DuplicateSectionError):
        return Problem(
            source,
            error.section,
            '',
            f'the section is repeated in line {error.lineno}',
            'merge the two',
        )
    line = getattr(error, 'lineno', None)
    if line is None and isinstance(error, configparser.ParsingError):
        line = error.errors[0][0]
    return Problem(
        source,
        '',
        '',
        f'line {line} is not valid INI',
        'write [section], option = value, or # comment',
    )
