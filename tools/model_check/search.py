"""Breadth-first search over the action sequences of a world."""

import random
from collections import deque
from typing import NamedTuple

from tools.model_check.world import Action, Bounds, InvariantViolation, World

__all__ = ["SearchResult", "search"]


class SearchResult(NamedTuple):
    """How far a search came, and the violation it found with its trace, if any."""

    states: int
    # The depth down to which every state was seen, or the length of the violating trace.
    depth: int
    is_complete: bool
    violation: str
    trace: tuple[Action, ...]


def search(
    bounds: Bounds,
    depth: int,
    max_states: int,
    seed: int = 0,
    prefix: tuple[Action, ...] = (),
) -> SearchResult:
    """Explores all sequences up to `depth`, or until `max_states` states were seen.

    Each sequence begins with `prefix`; the depth is counted after it.
    The seed orders the actions of a state, which matters only if the number
    of states ends the search.
    """
    rng = random.Random(seed)
    seen: set[int] = set()
    queue: deque[tuple[Action, ...]] = deque([prefix])
    max_depth_seen = 0
    while queue:
        trace = queue.popleft()
        if len(seen) >= max_states:
            return SearchResult(len(seen), max_depth_seen, False, "", ())
        world = World(bounds)
        try:
            for action in trace:
                world.apply(action)
            state = hash(world.state())
            if state in seen:
                continue
            seen.add(state)
            max_depth_seen = max(max_depth_seen, len(trace) - len(prefix) - 1)
            world.check()
            if len(trace) - len(prefix) < depth:
                next_actions = world.actions()
                rng.shuffle(next_actions)
                queue.extend((*trace, action) for action in next_actions)
        except InvariantViolation as violation:
            return SearchResult(len(seen), len(trace), False, str(violation), trace)
        finally:
            world.close()
    return SearchResult(len(seen), depth, True, "", ())
