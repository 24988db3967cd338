"""Brings the catalogue to those that follow it."""

import asyncio
from datetime import timedelta
from typing import Callable

from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.mate_stream import MateStream
from marblefold.inner_protocol.messages import kinds, pack_message
from marblefold.registry.catalogue import Catalogue

__all__ = ["FeedKeeper"]

_LARGEST_VALUE = 1024
_SIGN_OF_LIFE = timedelta(seconds=1)


class FeedKeeper:
    """The followers of this registry and how far each has come."""

    def __init__(
        self, catalogue: Catalogue, is_in_touch: Callable[[], bool],
        count_proxies: Callable[[], int],
        soon: Callable[[Callable[[], None]], object] | None = None,
    ) -> None:
        self._catalogue = catalogue
        self._is_in_touch = is_in_touch
        self._count_proxies = count_proxies
        self._soon = soon or _call_soon
        self._places: dict[MateStream, int] = {}
        self._is_pending = False
        catalogue.listen(self._on_change)

    def follow(self, stream: MateStream, follow: kinds.Follow) -> None:
        """Somebody follows from a place on."""
        changes = self._catalogue.changes_since(follow.registry_life, follow.place)
        is_frame = changes is None
        self._places[stream] = self._catalogue.place
        self._send(stream, self._catalogue.frame() if is_frame else changes, is_frame)

    @property
    def followers(self) -> int:
        """How many follow this registry."""
        return len(self._places)

    def forget(self, stream: MateStream) -> None:
        """A follower is gone."""
        self._places.pop(stream, None)

    async def run(self) -> None:
        """Says regularly that this registry lives and what it reaches."""
        while True:
            await asyncio.sleep(_SIGN_OF_LIFE.total_seconds())
            for stream in list(self._places):
                self._send(stream, [], False)

    def _on_change(self, _place: int, _entry: kinds.Entry) -> None:
        # Changes of one turn of the loop travel together.
        if not self._is_pending:
            self._is_pending = True
            self._soon(self._push)

    def _push(self) -> None:
        self._is_pending = False
        catalogue = self._catalogue
        for stream, place in list(self._places.items()):
            changes = catalogue.changes_since(catalogue.life, place)
            is_frame = changes is None
            self._places[stream] = catalogue.place
            self._send(stream, catalogue.frame() if is_frame else changes, is_frame)

    def give(self, stream: MateStream, want: kinds.Want) -> None:
        """Somebody wants an entry whole."""
        entry = self._catalogue.find(want.kind, want.key)
        if entry is not None:
            stream.send(FrameKind.TELL, 0, pack_message(entry))

    def _send(self, stream: MateStream, entries: list, is_frame: bool) -> None:
        stream.send(FrameKind.TELL, 0, pack_message(kinds.Feed(
            registry_life=self._catalogue.life,
            place=self._catalogue.place,
            frame=is_frame,
            entries=[_defer(entry) for entry in entries],
            in_touch=self._is_in_touch(),
            proxies=self._count_proxies(),
        )))


def _defer(entry: kinds.Entry) -> kinds.Entry:
    """A node hears the same news from every registry: it takes what is large from one."""
    if len(entry.value) <= _LARGEST_VALUE:
        return entry
    return kinds.Entry(
        kind=entry.kind, key=entry.key, life=entry.life, number=entry.number, deferred=True)


def _call_soon(push: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_soon(push)
