"""The hops that the target beside a guard is processing."""

from collections.abc import Iterator

from marblefold.inner_protocol.exchange import Exchange

__all__ = ["OfferedHops"]


class OfferedHops:
    """The hops in progress at the target of a guard; times are monotonic seconds."""

    def __init__(self) -> None:
        # When each was offered.
        self._hops: dict[Exchange, float] = {}

    def begin(self, exchange: Exchange, at: float) -> None:
        """The hop is offered to the target."""
        self._hops[exchange] = at

    def end(self, exchange: Exchange) -> None:
        """The hop is over."""
        self._hops.pop(exchange, None)

    def count_older(self, now: float, seconds: float) -> int:
        """How many were offered more than so many seconds ago."""
        return sum(1 for at in self._hops.values() if now - at > seconds)

    def repeatable_before(self, now: float) -> Iterator[Exchange]:
        """The repeatable hops that were offered up to `now`."""
        for exchange, at in list(self._hops.items()):
            if exchange.is_repeatable and at <= now:
                yield exchange
