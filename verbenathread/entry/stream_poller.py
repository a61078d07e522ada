"""Moves tokens of many streams in one thread while nothing goes wrong.

A worker owns each request from its first byte to its last. But a thread that
wakes for every token costs several times what the token does: at 200 streams
the interpreter's lock and the switches took two thirds of the processor time
(docs/design/entry.md). So the worker hands the readiness of its socket over
while tokens come, and takes it back for everything else.
"""

import select
import socket
import threading
import time
from collections.abc import Callable

from verbenathread.clock import Clock, seconds
from verbenathread.types import Millis

_POLL_SECONDS = 0.5
# With more streams than this, tokens that come within the time below are
# moved together; the first token of a stream does not come through here.
_FEW_STREAMS = 16
_GATHER_SECONDS = 0.003

# Takes what has come without waiting; False gives the stream back.
Step = Callable[[], bool]


class _PolledStream:
    """One stream that the pump drives."""

    def __init__(self, step: Step) -> None:
        self.step = step
        self.lock = threading.Lock()
        self.done = threading.Event()
        self.fault: BaseException | None = None

    def run(self) -> None:
        """Run one step unless the worker took the stream back."""
        with self.lock:
            if self.done.is_set():
                return
            try:
                going_on = self.step()
            # The worker raises it again.
            except BaseException as exc:
                self.fault = exc
                going_on = False
            if not going_on:
                self.done.set()

    def take_back(self) -> None:
        """Let no step run after this."""
        with self.lock:
            self.done.set()


class StreamPoller:
    """One thread that waits for all streams that are driven."""

    def __init__(self, clock: Clock) -> None:
        """Start nothing before :meth:`start`."""
        self._clock = clock
        self._epoll = select.epoll()
        self._driven_by_descriptor: dict[int, _PolledStream] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='pump', daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread; streams still driven wait for their deadlines."""
        self._stopping.set()
        self._thread.join()
        self._epoll.close()

    def poll(self, sock: socket.socket, step: Step, deadline: Millis) -> None:
        """Run ``step`` whenever ``sock`` is readable, until it gives back.

        Returns when a step returned False or the deadline passed; raises what
        a step raised. No step runs after that.
        """
        driven = _PolledStream(step)
        descriptor = sock.fileno()
        self._driven_by_descriptor[descriptor] = driven
        self._epoll.register(descriptor, select.EPOLLIN)
        left = deadline - self._clock.now()
        driven.done.wait(seconds(max(0, left)))
        driven.take_back()
        self._epoll.unregister(descriptor)
        self._driven_by_descriptor.pop(descriptor)
        if driven.fault is not None:
            raise driven.fault

    def _run(self) -> None:
        while not self._stopping.is_set():
            for descriptor, _ in self._epoll.poll(_POLL_SECONDS):
                self._step(descriptor)
            if len(self._driven_by_descriptor) > _FEW_STREAMS:
                # One wake-up then serves several tokens.
                time.sleep(_GATHER_SECONDS)

    def _step(self, descriptor: int) -> None:
        # An event may come late, when its descriptor is another stream's: a
        # step that finds nothing to read does no harm. Nor is the descriptor
        # silenced here when the stream is given back; its worker does that.
        driven = self._driven_by_descriptor.get(descriptor)
        if driven is not None:
            driven.run()
