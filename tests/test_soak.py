"""The short form of the soak: real processes and sockets under overlapping troubles.

The one test here that takes real time; `python3 -m tools.soak` is the long form.
"""

import asyncio

from tools.soak.run import soak

SECONDS = 8.0
# Enough that a cold target would be flooded if nothing held requests back.
REQUESTS_PER_SECOND = 150.0


def test_the_mesh_keeps_its_invariants_under_random_troubles():
    outcome = asyncio.run(soak(seed=4, seconds=SECONDS, requests_per_second=REQUESTS_PER_SECOND))
    assert outcome.violations == ()
    assert outcome.served > outcome.asked / 2
    # It was a soak: orders were acknowledged and troubles overlapped.
    assert outcome.changes and outcome.evacuations and len(outcome.troubles) >= 5
