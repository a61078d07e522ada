"""Relays the tokens of many streams in one thread.

A worker thread owns each request from its first byte to its last, but waking
a thread for each token costs several times as much as relaying the token: at
200 streams, the interpreter lock and context switches took two thirds of the
CPU time (docs/design/entry.md). So a worker lets the poller read its socket
while tokens arrive normally, and handles everything else itself.
"""

import select
import socket
import threading
import time
from collections.abc import Callable

from verbenathread.clock import Clock, seconds
from verbenathread.types import Millis

_POLL_SECONDS = 0.5
# With more streams than this, tokens that arrive within the delay below are
# relayed together. A stream's first token is read by its worker, so it is not
# delayed.
_BATCHING_THRESHOLD = 16
_BATCHING_DELAY_SECONDS = 0.003

# Relays available tokens without blocking; returns False to hand the stream
# back to its worker.
Step = Callable[[], bool]


class _PolledStream:
    """A stream that is read by the poller."""

    def __init__(self, step: Step) -> None:
        self.step = step
        self.lock = threading.Lock()
        self.done = threading.Event()
        self.error: BaseException | None = None

    def run(self) -> None:
        """Run one step unless the stream was detached."""
        with self.lock:
            if self.done.is_set():
                return
            try:
                more = self.step()
            # Raised again in the worker's thread.
            except BaseException as exc:
                self.error = exc
                more = False
            if not more:
                self.done.set()

    def detach(self) -> None:
        """Prevent further steps, after waiting for a running one."""
        with self.lock:
            self.done.set()


class StreamPoller:
    """Waits in one thread for data on all streams that workers handed over."""

    def __init__(self, clock: Clock) -> None:
        """Create the poller; :meth:`start` starts its thread."""
        self._clock = clock
        self._epoll = select.epoll()
        self._stream_by_descriptor: dict[int, _PolledStream] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='stream-poller', daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; remaining streams wait for their deadlines."""
        self._stopping.set()
        self._thread.join()
        self._epoll.close()

    def poll(self, sock: socket.socket, step: Step, deadline: Millis) -> None:
        """Run ``step`` whenever ``sock`` is readable; block the caller.

        Returns when a step returns False or the deadline passes; raises what
        a step raises. No step runs after that.
        """
        stream = _PolledStream(step)
        descriptor = sock.fileno()
        self._stream_by_descriptor[descriptor] = stream
        self._epoll.register(descriptor, select.EPOLLIN)
        remaining = deadline - self._clock.now()
        stream.done.wait(seconds(max(0, remaining)))
        stream.detach()
        self._epoll.unregister(descriptor)
        self._stream_by_descriptor.pop(descriptor)
        if stream.error is not None:
            raise stream.error

    def _run(self) -> None:
        while not self._stopping.is_set():
            for descriptor, _ in self._epoll.poll(_POLL_SECONDS):
                self._run_step(descriptor)
            if len(self._stream_by_descriptor) > _BATCHING_THRESHOLD:
                # One wake-up then handles several tokens.
                time.sleep(_BATCHING_DELAY_SECONDS)

    def _run_step(self, descriptor: int) -> None:
        # A late event may refer to a descriptor that another stream reuses;
        # a step that finds nothing to read is harmless. The worker, not this
        # thread, unregisters the descriptor of a stream that is handed back.
        stream = self._stream_by_descriptor.get(descriptor)
        if stream is not None:
            stream.run()
