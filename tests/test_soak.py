"""A short soak test: real processes and sockets under overlapping faults.

It runs in real time; `python3 -m tools.soak` runs longer ones.
"""

import asyncio

from tools.soak.run import soak

SECONDS = 8.0
# High enough to exceed the limit of a cold target if the mesh did not limit its requests.
REQUESTS_PER_SECOND = 150.0


def test_the_mesh_keeps_its_invariants_under_random_faults():
    outcome = asyncio.run(soak(seed=4, seconds=SECONDS, requests_per_second=REQUESTS_PER_SECOND))
    assert outcome.violations == ()
    assert outcome.served > outcome.asked / 2
    # The run included changes, evacuations and enough faults for them to overlap.
    assert outcome.changes and outcome.evacuations and len(outcome.troubles) >= 5
