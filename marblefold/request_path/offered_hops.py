"""The hops that the target beside a guard holds now."""

from collections.abc import Iterator

from marblefold.inner_protocol.exchange import Exchange

__all__ = ["OfferedHops"]


class OfferedHops:
    """Kept by the guard."""

    def __init__(self) -> None:
        # By when each was offered.
        self._hops: dict[Exchange, float] = {}

    def begin(self, exchange: Exchange, at: float) -> None:
        """The target is offered the hop."""
        self._hops[exchange] = at

    def end(self, exchange: Exchange) -> None:
        """The target is done with it."""
        self._hops.pop(exchange, None)

    def count_older(self, now: float, seconds: float) -> int:
        """How many are older than that."""
        return sum(1 for at in self._hops.values() if now - at > seconds)

    def repeatable_before(self, now: float) -> Iterator[Exchange]:
        """Those that may go elsewhere, offered by then."""
        for exchange, at in list(self._hops.items()):
            if exchange.is_repeatable and at <= now:
                yield exchange
