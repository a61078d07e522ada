"""Property test: no schedule of faults violates an invariant of the log."""

import unittest

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from tests.consensus_schedule import ACTIONS, Step, run_schedule

STEPS = st.lists(
    st.builds(
        Step,
        st.sampled_from(ACTIONS),
        st.integers(0, 3),
        st.sampled_from((0, 3, 20, 80, 500)),
    ),
    min_size=10,
    max_size=40,
)


class ScheduleTest(unittest.TestCase):
    @settings(
        derandomize=True,
        deadline=None,
        max_examples=80,
        # Report a violation without shrinking, which would take minutes.
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @given(STEPS, st.integers(0, 1 << 30))
    def test_no_schedule_breaks_an_invariant(self, steps, seed):
        self.assertEqual(run_schedule(steps, seed), [])
