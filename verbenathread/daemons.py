"""Run the daemon of a role until it receives a stop signal."""

import argparse
import asyncio
import gc
import signal
import sys

from verbenathread.background_tasks import restart_on_error
from verbenathread.command import CommandOutput
from verbenathread.exceptions import SettingsError, StorageError
from verbenathread.observability import logs
from verbenathread.observability.bounded_output import BoundedOutput
from verbenathread.observability.loop_turns import LoopTurns
from verbenathread.schema import settings_pb2
from verbenathread.settings.node import load_node_settings, parse_address

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run_entry(options: argparse.Namespace) -> CommandOutput:
    """Run an entry until SIGTERM or SIGINT, then shut down cleanly."""
    # Imported here because only this role needs the HTTP libraries.
    from verbenathread.entry.daemon import EntryDaemon

    settings = _load_settings('entry', options.settings)
    # Blocked before any thread starts, so that only sigwait receives them.
    signal.pthread_sigmask(signal.SIG_BLOCK, _STOP_SIGNALS)
    daemon = EntryDaemon(settings)
    daemon.start()
    signal.sigwait(_STOP_SIGNALS)
    daemon.stop()
    return CommandOutput('', None)


def run_control(options: argparse.Namespace) -> CommandOutput:
    """Run a control process until SIGTERM or SIGINT, then shut down."""
    settings = _load_settings('control', options.settings)
    asyncio.run(_serve_control(settings))
    return CommandOutput('', None)


async def _serve_control(settings: settings_pb2.NodeSettings) -> None:
    # Imported here because only this role needs the replicated log.
    from verbenathread.control.daemon import ControlDaemon
    from verbenathread.control.status import status_server

    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, stopping.set)
    daemon = ControlDaemon(settings)
    status = status_server(
        daemon, parse_address(settings.control.metrics_listen)
    )
    try:
        await daemon.start()
        status.start()
    except OSError as error:
        raise SettingsError(
            f'[control] listen or metrics_listen: {error.strerror}; free the'
            ' address or set another'
        )
    failed = asyncio.create_task(daemon.wait_failed())
    await asyncio.wait(
        (failed, asyncio.create_task(stopping.wait())),
        return_when=asyncio.FIRST_COMPLETED,
    )
    await daemon.stop()
    status.stop()
    if failed.done():
        raise StorageError(failed.result())


def run_gateway(options: argparse.Namespace) -> CommandOutput:
    """Run a gateway until SIGTERM or SIGINT, then shut down cleanly."""
    settings = _load_settings('gateway', options.settings, to_stdout=True)
    turns = LoopTurns()
    with asyncio.Runner(loop_factory=turns.new_loop) as runner:
        runner.run(_serve_gateway(settings, options.settings, turns))
    return CommandOutput('', None)


def run_directory(options: argparse.Namespace) -> CommandOutput:
    """Run a directory process until SIGTERM or SIGINT, then shut down."""
    settings = _load_settings('directory', options.settings, to_stdout=True)
    turns = LoopTurns()
    with asyncio.Runner(loop_factory=turns.new_loop) as runner:
        runner.run(_serve_directory(settings, options.settings, turns))
    return CommandOutput('', None)


async def _serve_gateway(
    settings: settings_pb2.NodeSettings, path: str, turns: LoopTurns
) -> None:
    # Imported here because only this role needs the HTTP parser and the
    # platform's dialect.
    from verbenathread.gateway.daemon import GatewayDaemon
    from verbenathread.platform.bodies import decode_config
    from verbenathread.platform.headers import PlatformDialect

    stopping = _stop_event()
    daemon = GatewayDaemon(settings, path, PlatformDialect(), decode_config)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, daemon.reload)
    try:
        await daemon.start()
    except OSError as error:
        raise SettingsError(
            f'[gateway] cannot listen on an address: {error.strerror}; free'
            ' the address or set another'
        )
    _freeze_startup_objects()
    turns.export(daemon.context.metrics.registry)
    measuring = asyncio.create_task(restart_on_error(turns.run))
    await stopping.wait()
    await daemon.stop()
    measuring.cancel()


async def _serve_directory(
    settings: settings_pb2.NodeSettings, path: str, turns: LoopTurns
) -> None:
    from verbenathread.directory.daemon import DirectoryDaemon
    from verbenathread.directory.damage import quarantine_folder
    from verbenathread.platform.directory_handler import DirectoryHandler

    stopping = _stop_event()
    daemon = DirectoryDaemon(settings, path, DirectoryHandler)
    try:
        await daemon.start()
    except StorageError as damage:
        # Start with an empty folder and join the group as a new member.
        quarantine_folder(settings.directory.data_folder, damage)
        settings.directory.bootstrap = False
        daemon = DirectoryDaemon(settings, path, DirectoryHandler)
        await daemon.start()
    except OSError as error:
        raise SettingsError(
            f'[directory] cannot listen on an address: {error.strerror};'
            ' free the address or set another'
        )
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, daemon.reload)
    _freeze_startup_objects()
    turns.export(daemon.metrics.registry)
    measuring = asyncio.create_task(restart_on_error(turns.run))
    failed = asyncio.create_task(daemon.wait_failed())
    await asyncio.wait(
        (failed, asyncio.create_task(stopping.wait())),
        return_when=asyncio.FIRST_COMPLETED,
    )
    await daemon.stop()
    measuring.cancel()
    if failed.done():
        raise StorageError(failed.result())


def _freeze_startup_objects() -> None:
    """Exempt objects created at startup from garbage collection.

    They live as long as the process, so scanning them again is wasted work.
    """
    gc.collect()
    gc.freeze()


def _stop_event() -> asyncio.Event:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, stopping.set)
    return stopping


def _load_settings(
    role: str, path: str, *, to_stdout: bool = False
) -> settings_pb2.NodeSettings:
    settings = load_node_settings(path)
    if not settings.HasField(role):
        raise SettingsError(
            f'{path}: there is no [{role}] section; add one or run the role'
            ' that the file configures'
        )
    stream = BoundedOutput(sys.stdout.fileno()) if to_stdout else None
    logs.configure(settings.log.level, settings.log.format, stream)
    return settings
