"""An attempt that runs on a group of engines."""

from collections.abc import Sequence

from verbenathread.replay.engine import Engine, Job, JobListener


class GroupRun:
    """Coordinates the engines of one attempt.

    Every engine prefills its share; the first engine then decodes. The loss
    of any engine breaks the attempt.
    """

    def __init__(
        self, engines: Sequence[Engine], job: Job, listener: JobListener
    ) -> None:
        """Create a run; the first of ``engines`` decodes."""
        self._engines = tuple(engines)
        self._job = job
        self._listener = listener
        self._prefills_left = len(self._engines)
        self._is_over = False

    def begin(self) -> None:
        """Submit the job to every engine."""
        for engine in self._engines:
            if not self._is_over:
                engine.submit(self._job, self)

    def end(self) -> None:
        """Remove the job from every engine."""
        self._is_over = True
        for engine in self._engines:
            engine.end(self._job.attempt_id)

    def output_so_far(self) -> int:
        """Return the number of tokens generated."""
        return self._engines[0].output_so_far(self._job.attempt_id)

    def prefilled(self, attempt_id: str) -> None:
        """Start to decode once every engine has finished its prefill."""
        self._prefills_left -= 1
        if self._is_over or self._prefills_left:
            return
        self._listener.prefilled(attempt_id)
        self._engines[0].decode(attempt_id)

    def finished(self, attempt_id: str) -> None:
        """Free the other engines and notify the listener."""
        self.end()
        self._listener.finished(attempt_id)

    def broken(self, attempt_id: str) -> None:
        """Free the remaining engines and notify the listener, once."""
        if self._is_over:
            return
        self.end()
        self._listener.broken(attempt_id)
