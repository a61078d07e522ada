"""Edits of a branch's INI text that leave all other lines unchanged."""

import re
from collections.abc import Mapping

from verbenathread.exceptions import UsageError

_HEADING = re.compile(r'\s*\[([^]]+)\]\s*')
_OPTION = re.compile(r'\s*([A-Za-z0-9_]+)\s*[=:]')


def set_option(text: str, heading: str, option: str, setting: str) -> str:
    """Return the text with one option of a section set.

    A missing section is appended.
    """
    lines = text.splitlines()
    span = _section_lines(lines, heading)
    wanted = f'{option} = {setting}'
    if span is None:
        return add_section(text, heading, {option: setting})
    for number in span:
        found = _OPTION.match(lines[number])
        if found is not None and found.group(1) == option:
            lines[number] = wanted
            return _join_lines(lines)
    lines.insert(span.start, wanted)
    return _join_lines(lines)


def add_section(
    text: str, heading: str, setting_by_option: Mapping[str, str]
) -> str:
    """Return the text with a new section appended."""
    lines = text.splitlines()
    if _section_lines(lines, heading) is not None:
        raise UsageError(f'[{heading}] already exists; use config set')
    if lines:
        lines.append('')
    lines.append(f'[{heading}]')
    for option, setting in setting_by_option.items():
        lines.append(f'{option} = {setting}')
    return _join_lines(lines)


def remove_section(text: str, heading: str) -> str:
    """Return the text without the section."""
    lines = text.splitlines()
    span = _section_lines(lines, heading)
    if span is None:
        raise UsageError(
            f'there is no [{heading}] in this branch; see config get'
        )
    kept = lines[: span.start - 1] + lines[span.stop :]
    return _join_lines(kept)


def has_section(text: str, heading: str) -> bool:
    """Return whether the text contains the section."""
    return _section_lines(text.splitlines(), heading) is not None


def _section_lines(lines: list[str], heading: str) -> range | None:
    """Return the line numbers of a section's body, or None."""
    start = None
    for number, line in enumerate(lines):
        found = _HEADING.fullmatch(line)
        if found is None:
            continue
        if start is not None:
            return range(start, number)
        if found.group(1).split() == heading.split():
            start = number + 1
    if start is None:
        return None
    return range(start, len(lines))


def _join_lines(lines: list[str]) -> str:
    return ''.join(f'{line}\n' for line in lines)
