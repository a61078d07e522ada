"""The tree of shared settings, with one branch of INI text per team.

The root branch is ``/``; a team's branch is ``/team`` or ``/team/part``. A
branch inherits the policy options that it does not set from its ancestors.
Names of client accounts, services and operators are unique in the tree.
"""

import functools
import hashlib
import re
from collections.abc import Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

from google.protobuf.message import Message

from verbenathread.schema import settings_pb2
from verbenathread.settings.ini import (
    ParsedSection,
    check_section_name,
    fill_section,
    parse_ini,
    unknown_section_problem,
)
from verbenathread.settings.rules import (
    Problem,
    fill_defaults,
    options_of,
    set_option,
)

ROOT_PATH = '/'
MAX_BRANCH_BYTES = 262_144
_CACHED_BRANCHES = 2048

_PATH_PATTERN = re.compile(r'/|(/[a-z0-9][a-z0-9-]{0,62}){1,4}')
_NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_METHOD_PATTERN = re.compile('[A-Z]{1,20}')
_PATH_REMEDY = 'write / or up to four names such as /team/part'

_FIELD_BY_TITLE = MappingProxyType(
    {
        'account': 'account_by_name',
        'service': 'service_by_name',
        'operator': 'operator_by_name',
    }
)
_POLICY_TITLE = 'policy'
_TITLES = (*_FIELD_BY_TITLE, _POLICY_TITLE)


class ParsedBranch(NamedTuple):
    """The settings of one branch, and the text of its own policy options."""

    settings: settings_pb2.BranchSettings
    written_policy: Mapping[str, str]


class OwnedOperator(NamedTuple):
    """An operator and the path of the branch that defines it."""

    path: str
    settings: settings_pb2.OperatorSettings


def key_hash(key: str) -> str:
    """Return the SHA-256 of a key as stored in settings."""
    return hashlib.sha256(key.encode()).hexdigest()


def covers(path: str, other: str) -> bool:
    """Return whether ``other`` is ``path`` or one of its descendants."""
    if path in {ROOT_PATH, other}:
        return True
    return other.startswith(f'{path}/')


def check_path(path: str) -> Problem | None:
    """Return the problem with a branch path, or None if it is valid."""
    if _PATH_PATTERN.fullmatch(path):
        return None
    return Problem(path, '', '', f'{path!r} is not a branch path', _PATH_REMEDY)


def ancestors(path: str) -> Iterator[str]:
    """Yield the paths from the root down to ``path``, both included."""
    yield ROOT_PATH
    names = [name for name in path.split('/') if name]
    for count in range(1, len(names) + 1):
        relative_path = '/'.join(names[:count])
        yield f'/{relative_path}'


def parse_branch(path: str, text: str) -> tuple[ParsedBranch, list[Problem]]:
    """Parse one branch and return it with every problem found.

    The branch is cached between calls and must not be modified.
    """
    branch, problems = _parse_branch(path, text)
    return branch, list(problems)


# Cached because a change to one branch leaves all others unchanged.
@functools.lru_cache(maxsize=_CACHED_BRANCHES)
def _parse_branch(
    path: str, text: str
) -> tuple[ParsedBranch, Sequence[Problem]]:
    branch = settings_pb2.BranchSettings()
    written: Mapping[str, str] = {}
    if len(text.encode()) > MAX_BRANCH_BYTES:
        return ParsedBranch(branch, written), [
            Problem(
                path,
                '',
                '',
                f'the branch is over {MAX_BRANCH_BYTES} bytes',
                'split it into child branches',
            )
        ]
    parsed = parse_ini(path, text)
    problems = list(parsed.problems)
    for section in parsed.sections:
        if section.title not in _TITLES:
            problems.append(unknown_section_problem(path, section, _TITLES))
            continue
        if section.title == _POLICY_TITLE:
            written = section.text_by_option
        problems.extend(_fill_branch(path, section, branch))
    return ParsedBranch(branch, written), problems


def check_tree(text_by_path: Mapping[str, str]) -> list[Problem]:
    """Return every problem; a tree without problems can be applied."""
    problems = []
    branch_by_path = {}
    for path, text in sorted(text_by_path.items()):
        path_problem = check_path(path)
        if path_problem is not None:
            problems.append(path_problem)
            continue
        branch, found = parse_branch(path, text)
        problems.extend(found)
        branch_by_path[path] = branch
    problems.extend(_check_unique(branch_by_path))
    problems.extend(_check_policies(branch_by_path))
    return problems


class EffectiveTree:
    """The tree as nodes use it, built from accepted texts."""

    def __init__(self, text_by_path: Mapping[str, str]) -> None:
        """Index the branches; parts that this version rejects are skipped."""
        self._branch_by_path = {
            path: parse_branch(path, text)[0]
            for path, text in sorted(text_by_path.items())
        }
        self._account_by_key_hash: dict[
            str, tuple[str, settings_pb2.AccountSettings]
        ] = {}
        self._account_by_name: dict[str, settings_pb2.AccountSettings] = {}
        self._service_by_name: dict[str, settings_pb2.ServiceSettings] = {}
        self._path_by_service: dict[str, str] = {}
        self._operator_by_name: dict[str, OwnedOperator] = {}
        self._policy_by_path: dict[str, settings_pb2.PolicySettings] = {}
        for path, branch in self._branch_by_path.items():
            self._index(path, branch.settings)

    def account_by_key(
        self, bearer_key: str
    ) -> tuple[str, settings_pb2.AccountSettings] | None:
        """Return the name and settings of the client account with this key."""
        return self._account_by_key_hash.get(key_hash(bearer_key))

    def account(self, name: str) -> settings_pb2.AccountSettings | None:
        """Return the settings of one client account."""
        return self._account_by_name.get(name)

    def account_names(self) -> tuple[str, ...]:
        """Return the names of all client accounts, sorted."""
        return tuple(sorted(self._account_by_name))

    def service(self, name: str) -> settings_pb2.ServiceSettings | None:
        """Return the settings of one service."""
        return self._service_by_name.get(name)

    def service_names(self) -> tuple[str, ...]:
        """Return the names of all services, sorted."""
        return tuple(sorted(self._service_by_name))

    def service_path(self, name: str) -> str | None:
        """Return the path of the branch that defines the service."""
        return self._path_by_service.get(name)

    def operator(self, name: str) -> OwnedOperator | None:
        """Return one operator and the branch that defines it."""
        return self._operator_by_name.get(name)

    def policy(self, service: str) -> settings_pb2.PolicySettings:
        """Return the policy of the branch that defines the service."""
        path = self._path_by_service.get(service, ROOT_PATH)
        if path not in self._policy_by_path:
            self._policy_by_path[path] = effective_policy(
                path, self._branch_by_path
            )
        return self._policy_by_path[path]

    def _index(self, path: str, branch: settings_pb2.BranchSettings) -> None:
        for name, account in branch.account_by_name.items():
            self._account_by_name[name] = account
            for hashed in account.key_sha256.split(','):
                self._account_by_key_hash[hashed] = (name, account)
        for service_name, service in branch.service_by_name.items():
            self._service_by_name[service_name] = service
            self._path_by_service[service_name] = path
        for operator_name, operator in branch.operator_by_name.items():
            self._operator_by_name[operator_name] = OwnedOperator(
                path, operator
            )


def effective_policy(
    path: str, branch_by_path: Mapping[str, ParsedBranch]
) -> settings_pb2.PolicySettings:
    """Return the policy at ``path``, including inherited options."""
    policy = settings_pb2.PolicySettings()
    fill_defaults(policy)
    option_by_name = {option.name: option for option in options_of(policy)}
    for ancestor in ancestors(path):
        branch = branch_by_path.get(ancestor)
        if branch is None:
            continue
        for name, text in branch.written_policy.items():
            set_option(policy, option_by_name[name], text)
    return policy


def _fill_branch(
    path: str, section: ParsedSection, branch: settings_pb2.BranchSettings
) -> list[Problem]:
    if section.title == _POLICY_TITLE:
        target: Message = branch.policy
    else:
        by_name = getattr(branch, _FIELD_BY_TITLE[section.title])
        target = by_name[section.name]
    name_problem = check_section_name(path, section, target)
    if name_problem is not None:
        return [name_problem]
    problems = fill_section(path, section, target)
    if section.name and not _NAME_PATTERN.fullmatch(section.name):
        problems.append(
            Problem(
                path,
                section.heading(),
                '',
                'the name is not valid',
                f'write a name that matches {_NAME_PATTERN.pattern}',
            )
        )
    if isinstance(target, settings_pb2.ServiceSettings):
        problems.extend(_check_service(path, section, target))
    return problems


def _check_service(
    path: str, section: ParsedSection, service: settings_pb2.ServiceSettings
) -> list[Problem]:
    problems = []
    if service.time_limit > service.longest_time_limit:
        problems.append(
            Problem(
                path,
                section.heading(),
                'time_limit',
                'it is above longest_time_limit',
                'lower it or raise longest_time_limit',
            )
        )
    for method in service.idempotent.split(','):
        if method.strip() and not _METHOD_PATTERN.fullmatch(method.strip()):
            problems.append(
                Problem(
                    path,
                    section.heading(),
                    'idempotent',
                    f'{method.strip()!r} is not an HTTP method',
                    'write methods separated by commas, such as GET,HEAD',
                )
            )
    return problems


def _check_unique(
    branch_by_path: Mapping[str, ParsedBranch],
) -> list[Problem]:
    problems = []
    path_by_name: dict[tuple[str, str], str] = {}
    for path, branch in branch_by_path.items():
        for title, name in _unique_names(branch.settings):
            earlier = path_by_name.setdefault((title, name), path)
            if earlier == path:
                continue
            heading = 'key_sha256' if title == 'key' else f'{title} {name}'
            problems.append(
                Problem(
                    path,
                    heading,
                    '',
                    f'it is already defined in branch {earlier}',
                    'choose another',
                )
            )
    return problems


def _unique_names(
    branch: settings_pb2.BranchSettings,
) -> Iterator[tuple[str, str]]:
    for title, field in _FIELD_BY_TITLE.items():
        for name in sorted(getattr(branch, field)):
            yield title, name
    for account in branch.account_by_name.values():
        for hashed in account.key_sha256.split(','):
            yield 'key', hashed


def _check_policies(
    branch_by_path: Mapping[str, ParsedBranch],
) -> list[Problem]:
    problems: list[Problem] = []
    for path, branch in branch_by_path.items():
        if not branch.written_policy:
            # It inherits the policy of an ancestor, which is checked there.
            continue
        try:
            policy = effective_policy(path, branch_by_path)
        except (KeyError, ValueError):
            # Already reported for the branch that sets the option.
            continue
        if policy.short_tokens < policy.long_tokens:
            continue
        problems.append(
            Problem(
                path,
                _POLICY_TITLE,
                'short_tokens',
                'it is not below long_tokens',
                'lower it or raise long_tokens',
            )
        )
    return problems
