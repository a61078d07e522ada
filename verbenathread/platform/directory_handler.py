"""HTTP handler of the directory, with the platform's paths."""

from collections.abc import Callable
from typing import Final

from verbenathread.consensus.replica import Replica
from verbenathread.directory.calls import DirectoryCalls
from verbenathread.exceptions import (
    UnavailableError,
    UnknownOutcomeError,
)
from verbenathread.http1.messages import Request
from verbenathread.http1.response import ResponseWriter
from verbenathread.observability.logs import get_logger
from verbenathread.platform import bodies, heartbeats
from verbenathread.serving.types import Worker
from verbenathread.settings.node import parse_address
from verbenathread.types import Address

_log = get_logger('platform')

_PUT_CONFIG: Final = '/Config.Put'
_GET_CONFIG: Final = '/Config.Get'
_HEARTBEAT: Final = '/Instances.Heartbeat/'
_DEREGISTER: Final = '/Instances.Deregister/'
_JSON: Final = ((b'Content-Type', b'application/json'),)
_OK: Final = 200
_REDIRECT: Final = 307
_BAD_REQUEST: Final = 400
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503
_TIMED_OUT: Final = 504


class DirectoryHandler:
    """Serves operators and workers over HTTP."""

    def __init__(
        self,
        calls: DirectoryCalls,
        replica: Replica,
        port: int,
        count: Callable[[str, int], None],
    ) -> None:
        """Redirect calls to the leader at ``port`` if another process leads.

        ``count`` is called with the kind and status of each call.
        """
        self._count = count
        self._calls = calls
        self._replica = replica
        self._port = port
        self._services: frozenset[str] = frozenset()
        self._services_version = 0

    async def handle(self, request: Request, response: ResponseWriter) -> None:
        """Handle one call."""
        path = request.path.decode('latin-1')
        await self._handle(path, request, response)
        self._count(_call_kind(path), response.status)

    async def _handle(
        self, path: str, request: Request, response: ResponseWriter
    ) -> None:
        leader = self._other_leader()
        if leader is not None:
            self._redirect(leader, path, response)
            return
        try:
            await self._dispatch(path, request, response)
        except bodies.InvalidBodyError as error:
            _log.warning('Call rejected.', path=path, reason=str(error))
            response.send(_BAD_REQUEST, (), f'{error}\n'.encode())
        except UnknownOutcomeError as error:
            response.send(_TIMED_OUT, (), f'{error}\n'.encode())
        except UnavailableError as error:
            # Another process may be the leader; clients try the others.
            response.send(_UNAVAILABLE, (), f'{error}\n'.encode())

    async def _dispatch(
        self, path: str, request: Request, response: ResponseWriter
    ) -> None:
        if path == _PUT_CONFIG:
            config = bodies.decode_new_config(request.body)
            await self._calls.put_config(config.version, request.body)
            response.send(_OK, _JSON, b'{}')
        elif path == _GET_CONFIG:
            response.send(_OK, _JSON, await self._calls.get_config())
        elif path.startswith(_HEARTBEAT):
            worker_id = path.removeprefix(_HEARTBEAT)
            worker = heartbeats.decode_heartbeat(
                worker_id, request.body, leaving=False
            )
            self._check_service(worker)
            await self._calls.record_worker(worker)
            response.send(_OK, _JSON, heartbeats.encode_heartbeat_response(''))
        elif path.startswith(_DEREGISTER):
            worker_id = path.removeprefix(_DEREGISTER)
            worker = heartbeats.decode_heartbeat(
                worker_id, request.body, leaving=True
            )
            await self._calls.record_worker(worker)
            response.send(_OK, _JSON, b'{}')
        else:
            response.send(_NOT_FOUND, (), b'there is no such call\n')

    def _check_service(self, worker: Worker) -> None:
        """Reject a new worker of a service that is not configured."""
        version = self._calls.config_version()
        if not version:
            raise UnavailableError(
                'There is no configuration yet; send the heartbeat again.'
            )
        if version != self._services_version:
            config = bodies.decode_config(self._calls.config_body())
            self._services = frozenset(config.service_by_name)
            self._services_version = version
        if worker.service in self._services:
            return
        if not self._calls.has_worker(worker.worker_id, worker.service):
            raise bodies.InvalidBodyError(
                f'there is no service {worker.service} in the configuration'
            )

    def _other_leader(self) -> Address | None:
        status = self._replica.status()
        if status.is_leader or not status.leader_address:
            return None
        if status.leader == status.node_id:
            return None
        return parse_address(status.leader_address)

    def _redirect(
        self, leader: Address, path: str, response: ResponseWriter
    ) -> None:
        location = f'http://{leader.host}:{self._port}{path}'
        response.send(_REDIRECT, ((b'Location', location.encode()),))


def _call_kind(path: str) -> str:
    """Return the kind of the call for metrics, one of a fixed set."""
    for prefix in (_PUT_CONFIG, _GET_CONFIG, _HEARTBEAT, _DEREGISTER):
        if path.startswith(prefix):
            return prefix.strip('/')
    return 'other'
