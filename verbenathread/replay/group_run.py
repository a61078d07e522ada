"""A prompt that runs on a group of engines, for the replay."""

from collections.abc import Sequence

from verbenathread.replay.engine import Engine, Job, JobListener


class GroupRun:
    """Joins the parts of one attempt: the first engine decodes for all.

    The loss of one engine is the loss of the attempt.
    """

    def __init__(
        self, engines: Sequence[Engine], job: Job, listener: JobListener
    ) -> None:
        """Take the engines of the group, the one that decodes first."""
        self._engines = tuple(engines)
        self._job = job
        self._listener = listener
        self._left = len(self._engines)
        self._is_over = False

    def begin(self) -> None:
        """Give every engine its part."""
        for engine in self._engines:
            if not self._is_over:
                engine.submit(self._job, self)

    def end(self) -> None:
        """Free every part."""
        self._is_over = True
        for engine in self._engines:
            engine.end(self._job.attempt_id)

    def output_so_far(self) -> int:
        """Return the tokens generated."""
        return self._engines[0].output_so_far(self._job.attempt_id)

    def prefilled(self, attempt_id: str) -> None:
        """Begin to decode when the last part is prefilled."""
        self._left -= 1
        if self._is_over or self._left:
            return
        self._listener.prefilled(attempt_id)
        self._engines[0].decode(attempt_id)

    def finished(self, attempt_id: str) -> None:
        """Free the other parts and pass the end on."""
        self.end()
        self._listener.finished(attempt_id)

    def broken(self, attempt_id: str) -> None:
        """Free the parts that are left and pass the loss on, once."""
        if self._is_over:
            return
        self.end()
        self._listener.broken(attempt_id)
