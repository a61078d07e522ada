"""Settings of one node, read from a local INI file."""

import ipaddress
import re
from collections.abc import Callable, Mapping
from pathlib import Path

from google.protobuf.message import Message

from verbenathread.exceptions import SettingsError
from verbenathread.schema import settings_pb2
from verbenathread.settings.ini import (
    ParsedSection,
    check_section_name,
    fill_section,
    parse_ini,
    unknown_section_problem,
)
from verbenathread.settings.rules import Problem
from verbenathread.types import Address, Peer

_MIN_PORT = 0
_MAX_PORT = 65535
_ADDRESS_REMEDY = 'write an IP address and a port, such as 127.0.0.1:8080'
_PEERS_REMEDY = 'write id@ip:port, separated by commas'
_ADDRESS_OPTIONS = (
    ('entry', 'listen'),
    ('entry', 'peer_listen'),
    ('entry', 'metrics_listen'),
    ('control', 'listen'),
    ('control', 'metrics_listen'),
    ('gateway', 'listen'),
    ('gateway', 'ready_listen'),
    ('gateway', 'peer_listen'),
    ('directory', 'listen'),
    ('directory', 'peer_listen'),
)
_OptionReader = tuple[str, str, Callable[[str], object]]

_ROLES = ('entry', 'control', 'gateway', 'directory')
_SECTIONS = ('node', 'log', *_ROLES)


def parse_address(text: str) -> Address:
    """Parse ``ip:port``; raise :class:`SettingsError` if it is invalid."""
    host, _, port_text = text.strip().rpartition(':')
    host = host.strip('[]')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise SettingsError(f'{text!r} is not an address; {_ADDRESS_REMEDY}')
    if not re.fullmatch(r'\d{1,5}', port_text):
        raise SettingsError(f'{text!r} has no port; {_ADDRESS_REMEDY}')
    port = int(port_text)
    if not _MIN_PORT <= port <= _MAX_PORT:
        raise SettingsError(f'{text!r} has an invalid port; {_ADDRESS_REMEDY}')
    return Address(host, port)


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parse comma-separated addresses."""
    return tuple(parse_address(part) for part in _split_list(text))


def parse_peers(text: str) -> tuple[Peer, ...]:
    """Parse comma-separated peers of the form ``id@ip:port``."""
    peers = []
    for part in _split_list(text):
        node_id, at_sign, address = part.partition('@')
        if not at_sign or not node_id:
            raise SettingsError(f'{part!r} is not a peer; {_PEERS_REMEDY}')
        peers.append(Peer(node_id, parse_address(address)))
    if len({peer.node_id for peer in peers}) < len(peers):
        raise SettingsError('a peer is listed twice; keep one of the two')
    return tuple(peers)


def check_node_text(
    source: str, text: str
) -> tuple[settings_pb2.NodeSettings, list[Problem]]:
    """Parse the settings of a node and return them with all problems."""
    node = settings_pb2.NodeSettings()
    parsed = parse_ini(source, text)
    if parsed.problems:
        return node, list(parsed.problems)
    problems = []
    section_by_title: dict[str, ParsedSection] = {}
    for section in parsed.sections:
        if section.title in _SECTIONS:
            section_by_title[section.title] = section
            continue
        problems.append(unknown_section_problem(source, section, _SECTIONS))
    for title in _SECTIONS:
        if title in _ROLES and title not in section_by_title:
            continue
        present = section_by_title.get(title, ParsedSection(title, '', {}))
        problems.extend(_read_section(source, present, getattr(node, title)))
    problems.extend(_check_role(source, section_by_title))
    if not problems:
        problems.extend(_check_addresses(source, node))
    return node, problems


def load_node_settings(path: str) -> settings_pb2.NodeSettings:
    """Read the file at ``path``; raise :class:`SettingsError` if invalid."""
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f'{path}: {error}; name a readable INI file in UTF-8'
        )
    node, problems = check_node_text(path, text)
    if problems:
        raise SettingsError('\n'.join(str(problem) for problem in problems))
    return node


def _check_role(
    source: str, section_by_title: Mapping[str, ParsedSection]
) -> list[Problem]:
    if any(role in section_by_title for role in _ROLES):
        return []
    return [
        Problem(
            source,
            '',
            '',
            f'there is no role section: {", ".join(_ROLES)}',
            'add the section of the role that this node runs',
        )
    ]


def _read_section(
    source: str, section: ParsedSection, target: Message
) -> list[Problem]:
    target.SetInParent()
    problem = check_section_name(source, section, target)
    if problem is not None:
        return [problem]
    return fill_section(source, section, target)


def _check_addresses(
    source: str, node: settings_pb2.NodeSettings
) -> list[Problem]:
    problems = []
    readers: list[_OptionReader] = [
        (title, option, parse_address) for title, option in _ADDRESS_OPTIONS
    ]
    readers.append(('entry', 'control', parse_addresses))
    readers.append(('entry', 'cell', parse_peers))
    readers.append(('control', 'voters', parse_peers))
    readers.append(('gateway', 'seeds', parse_addresses))
    readers.append(('directory', 'seeds', parse_addresses))
    for title, option in (
        ('gateway', 'metrics_listen'),
        ('directory', 'metrics_listen'),
        ('directory', 'peer_advertise'),
    ):
        if getattr(getattr(node, title), option):
            readers.append((title, option, parse_address))
    for title, option, reader in readers:
        if not node.HasField(title):
            continue
        text = getattr(getattr(node, title), option)
        try:
            reader(text)
        except SettingsError as error:
            message, _, remedy = str(error).partition('; ')
            problems.append(Problem(source, title, option, message, remedy))
    problems.extend(_check_own_cell(source, node))
    return problems


def _check_own_cell(
    source: str, node: settings_pb2.NodeSettings
) -> list[Problem]:
    if not node.HasField('entry'):
        return []
    try:
        cell = parse_peers(node.entry.cell)
    except SettingsError:
        return []
    if any(peer.node_id == node.node.id for peer in cell):
        return []
    return [
        Problem(
            source,
            'entry',
            'cell',
            f'this node, {node.node.id}, is not in its own cell',
            f'add {node.node.id}@ and its peer_listen address',
        )
    ]


def _split_list(text: str) -> list[str]:
    return [part.strip() for part in text.split(',') if part.strip()]
