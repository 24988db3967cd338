"""Breadth-first search over the sequences of actions of a world."""

import random
from collections import deque
from typing import NamedTuple

from tools.model_check.world import Action, Bounds, BrokenInvariant, World

__all__ = ["Found", "search"]


class Found(NamedTuple):
    """How far a search came, and what it broke."""

    states: int
    # The depth down to which every state was seen.
    depth: int
    is_complete: bool
    fault: str
    trace: tuple[Action, ...]


def search(
    bounds: Bounds,
    depth: int,
    most_states: int,
    seed: int = 0,
    begin: tuple[Action, ...] = (),
) -> Found:
    """Explores all sequences up to the depth, or until so many states were seen.

    Each sequence begins with the given one; the depth is counted after it.
    The seed orders the actions of a state, which matters only where the number
    of states ends the search.
    """
    chance = random.Random(seed)
    seen: set[int] = set()
    queue: deque[tuple[Action, ...]] = deque([begin])
    reached = 0
    while queue:
        trace = queue.popleft()
        if len(seen) >= most_states:
            return Found(len(seen), reached, False, "", ())
        world = World(bounds)
        try:
            for action in trace:
                world.act(action)
            state = hash(world.state())
            if state in seen:
                continue
            seen.add(state)
            reached = max(reached, len(trace) - len(begin) - 1)
            world.check()
            if len(trace) - len(begin) < depth:
                following = world.actions()
                chance.shuffle(following)
                queue.extend((*trace, action) for action in following)
        except BrokenInvariant as broken:
            return Found(len(seen), len(trace), False, str(broken), trace)
        finally:
            world.close()
    return Found(len(seen), depth, True, "", ())
