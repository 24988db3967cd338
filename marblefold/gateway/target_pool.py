"""The streams of a gateway to its targets, within the descriptors it may use."""

import asyncio
from datetime import timedelta
from typing import Callable

from marblefold.http_streams.target_streams import TargetStreams
from marblefold.node_config.reading import Address
from marblefold.request_path.target_caller import TargetCaller

__all__ = ["TargetPool"]

# More idle streams than this serve nobody, however many descriptors there are.
_MOST_IDLE = 64
_TIDY = timedelta(milliseconds=500)


class TargetPool:
    """One caller and its kept streams for each address of a target."""

    def __init__(self, descriptors: int, addresses: Callable[[], set[str]]) -> None:
        self._descriptors = max(4, descriptors)
        self._most_idle = min(_MOST_IDLE, self._descriptors // 2)
        self._addresses = addresses
        self._streams: dict[str, TargetStreams] = {}
        self._callers: dict[str, TargetCaller] = {}

    @property
    def open_streams(self) -> int:
        """How many streams are open, in use or kept."""
        return sum(streams.open_count for streams in self._streams.values())

    def caller(self, address: str) -> TargetCaller | None:
        """Who talks to the target there, or None if no descriptor is left."""
        streams = self._streams.get(address)
        if streams is None:
            streams = self._streams[address] = TargetStreams(Address.parse(address))
            self._callers[address] = TargetCaller(streams)
        if not streams.idle_count and self.open_streams >= self._descriptors:
            # An idle stream elsewhere is worth less than a request now.
            if not self._close_oldest():
                return None
        return self._callers[address]

    async def run(self) -> None:
        """Tidies up, for ever."""
        while True:
            await asyncio.sleep(_TIDY.total_seconds())
            self.tidy()

    def tidy(self) -> None:
        """Closes what is idle beyond the bound, stale, or of a target gone."""
        listed = self._addresses()
        for address, streams in list(self._streams.items()):
            streams.close_stale()
            if address not in listed and not streams.open_count:
                del self._streams[address], self._callers[address]
        while sum(streams.idle_count for streams in self._streams.values()) > self._most_idle:
            self._close_oldest()

    def close(self) -> None:
        """Ends all kept streams."""
        for streams in self._streams.values():
            streams.close()

    def _close_oldest(self) -> bool:
        keepers = [streams for streams in self._streams.values() if streams.idle_count]
        if not keepers:
            return False
        min(keepers, key=lambda streams: streams.oldest_rest).close_oldest()
        return True
