"""Tracks the hops that the target beside a guard is processing."""

from collections.abc import Iterator

from marblefold.inner_protocol.exchange import Exchange

__all__ = ["OfferedHops"]


class OfferedHops:
    """The hops in progress at the target of a guard; times are monotonic seconds."""

    def __init__(self) -> None:
        # The time at which each hop was offered.
        self._hops: dict[Exchange, float] = {}

    def begin(self, exchange: Exchange, offered_at: float) -> None:
        """Records that the hop was offered to the target."""
        self._hops[exchange] = offered_at

    def end(self, exchange: Exchange) -> None:
        """Records that the hop ended."""
        self._hops.pop(exchange, None)

    def count_older(self, now: float, seconds: float) -> int:
        """Returns how many hops were offered more than `seconds` ago."""
        return sum(1 for offered_at in self._hops.values() if now - offered_at > seconds)

    def repeatable_before(self, now: float) -> Iterator[Exchange]:
        """Iterates over the repeatable hops that were offered up to `now`."""
        for exchange, offered_at in list(self._hops.items()):
            if exchange.is_repeatable and offered_at <= now:
                yield exchange
