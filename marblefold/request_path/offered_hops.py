"""The hops that the target beside a guard holds now."""

from typing import Iterator, NamedTuple

from marblefold.inner_protocol.exchange import Exchange

__all__ = ["Offered", "OfferedHops"]

_LEAST_AIM = 0.02


class Offered(NamedTuple):
    """When a hop was offered, and the aim of its mapping."""

    at: float
    aim: float


class OfferedHops:
    """Kept by the guard."""

    def __init__(self) -> None:
        self._hops: dict[Exchange, Offered] = {}

    def begin(self, exchange: Exchange, at: float, aim: float) -> Offered:
        """The target is offered the hop."""
        offered = self._hops[exchange] = Offered(at, max(_LEAST_AIM, aim))
        return offered

    def end(self, exchange: Exchange) -> None:
        """The target is done with it."""
        self._hops.pop(exchange, None)

    def weighted_ages(self, now: float) -> list[float]:
        """How long each goes on, over its aim."""
        return [(now - offered.at) / offered.aim for offered in self._hops.values()]

    def count_older(self, now: float, seconds: float) -> int:
        """How many are older than that."""
        return sum(1 for offered in self._hops.values() if now - offered.at > seconds)

    def repeatable_before(self, now: float) -> Iterator[Exchange]:
        """Those that may go elsewhere, offered by then."""
        for exchange, offered in list(self._hops.items()):
            if exchange.is_repeatable and offered.at <= now:
                yield exchange
