"""The table of operator commands."""

from collections.abc import Iterator

from verbenathread.admin import config_commands as config
from verbenathread.admin import fleet_commands as fleet
from verbenathread.admin.options import (
    ClientCall,
    operator_arguments,
    with_client,
)
from verbenathread.command import Argument, Command, argument
from verbenathread.control.wanted import ACTIONS, SWITCH_VALUES
from verbenathread.settings.tree import ROOT_PATH

_PROGRAM = 'verbenathread'
_DEFAULT_RECORDS = 50
_PATH = argument('path', metavar='PATH', help='branch, such as /team/part')
_FILE = argument('file', metavar='FILE', help='INI text of the branch')
_NAME = argument('name', metavar='NAME')
_UPSTREAM = argument('upstream', metavar='UPSTREAM')
_ADDRESS = argument('--address', help='IP address and port, if not announced')
_SERVICE = argument(
    '--service', help='service of the upstream, if not announced'
)
_LIMIT = argument(
    '--limit',
    type=int,
    default=_DEFAULT_RECORDS,
    help='maximum number of records to show',
)
_CHANGE_ARGUMENTS = (
    argument(
        '--expected',
        type=int,
        metavar='REVISION',
        help='revision that the branch must be at; default: its current one',
    ),
    argument('--comment', metavar='TEXT', help='reason, for the audit trail'),
)
_ADD_ARGUMENTS = (
    _NAME,
    argument('--path', required=True, help='branch to add it to'),
    argument(
        '--new-key',
        required=True,
        metavar='FILE',
        help='file with its key; only the hash is stored',
    ),
    argument(
        '--set',
        action='append',
        metavar='OPTION=VALUE',
        help='another option; may be repeated',
    ),
    *_CHANGE_ARGUMENTS,
)


def _command(
    name: str, call: ClientCall, example: str, *arguments: Argument
) -> Command:
    return Command(
        name,
        call.__doc__ or '',
        operator_arguments(*arguments),
        f'{_PROGRAM} {name} {example}'.strip(),
        with_client(call),
    )


def _config_commands() -> Iterator[Command]:
    yield _command(
        'config get',
        config.run_config_get,
        '/desk',
        argument('path', nargs='?', default=ROOT_PATH, metavar='PATH'),
        argument(
            '--stale',
            action='store_true',
            help='allow any process to answer, even with old data',
        ),
    )
    yield _command(
        'config set',
        config.run_config_set,
        "/desk 'account tillery' requests_per_second 80",
        _PATH,
        argument('section', metavar='SECTION', help='such as account NAME'),
        argument('option', metavar='OPTION'),
        argument('setting', metavar='VALUE'),
        *_CHANGE_ARGUMENTS,
    )
    yield _command(
        'config apply',
        config.run_config_apply,
        '/desk desk.ini --expected 41',
        _PATH,
        _FILE,
        *_CHANGE_ARGUMENTS,
    )
    yield _command(
        'config remove',
        config.run_config_remove,
        '/desk',
        _PATH,
        *_CHANGE_ARGUMENTS,
    )
    yield _command(
        'config diff', config.run_config_diff, '/desk desk.ini', _PATH, _FILE
    )
    yield _command(
        'config history', config.run_config_history, '/desk', _PATH, _LIMIT
    )
    yield _command('config status', fleet.run_config_status, '')


def _account_and_service_commands() -> Iterator[Command]:
    yield _command('account list', config.run_account_list, '')
    yield _command(
        'account add',
        config.run_account_add,
        'tillery --path /desk --new-key tillery.key',
        *_ADD_ARGUMENTS,
    )
    yield _command(
        'account remove',
        config.run_account_remove,
        'tillery',
        _NAME,
        *_CHANGE_ARGUMENTS,
    )
    yield _command('service list', config.run_service_list, '')
    yield _command(
        'service add',
        config.run_service_add,
        'cot-ledger --path /desk --new-key cot.key --set kind=plain',
        *_ADD_ARGUMENTS,
    )
    yield _command(
        'service remove',
        config.run_service_remove,
        'cot-ledger',
        _NAME,
        *_CHANGE_ARGUMENTS,
    )


def _fleet_commands() -> Iterator[Command]:
    yield _command('upstream list', fleet.run_upstream_list, '')
    yield _command(
        'upstream drain',
        fleet.run_upstream_drain,
        'worker-7 on',
        _UPSTREAM,
        argument('switch', choices=SWITCH_VALUES, nargs='?', default='on'),
        _ADDRESS,
        _SERVICE,
    )
    yield _command(
        'upstream order',
        fleet.run_upstream_order,
        'worker-7 load adapter-3',
        _UPSTREAM,
        argument('action', choices=ACTIONS),
        argument('subject', nargs='?', default='', metavar='SUBJECT'),
        _ADDRESS,
        _SERVICE,
    )
    yield _command(
        'audit',
        fleet.run_audit,
        '--path /desk --after 120',
        argument('--path', help='only this branch and those below it'),
        argument(
            '--after',
            type=int,
            default=0,
            metavar='INDEX',
            help='records after this index; default: the newest ones',
        ),
        _LIMIT,
    )
    yield _command('status', fleet.run_status, '')
    yield _command(
        'member',
        fleet.run_member,
        'add control-4 --address 10.0.0.4:8090',
        argument('action', choices=('add', 'promote', 'remove')),
        argument('node', metavar='NODE'),
        argument('--address', help='IP address and port of a new member'),
    )


COMMANDS: tuple[Command, ...] = (
    *_config_commands(),
    *_account_and_service_commands(),
    *_fleet_commands(),
)
