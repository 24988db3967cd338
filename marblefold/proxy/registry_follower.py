"""Keeps in touch with the registries: tells them of us, follows their feeds."""

import asyncio
import time
from typing import Callable

from marblefold.breakdowns import Breakdown
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.mate_book import MateBook
from marblefold.inner_protocol.exchange import Exchange
from marblefold.inner_protocol.mate_stream import MateStream
from marblefold.inner_protocol.messages import kinds, pack_message, unpack_message
from marblefold.logs import log
from marblefold.request_path.mesh_view import MeshView

__all__ = ["RegistryFollower"]

_LOOK_EVERY = 0.2
# A registry that lost the majority for longer is not counted as touch.
_TOUCH_SECONDS = 3.0


class RegistryFollower:
    """Owns the streams to the registries."""

    def __init__(
        self, node: str, seeds: Callable[[], list[str]], view: MeshView,
        make_notice: Callable[[], kinds.TargetNotice],
    ) -> None:
        self._node = node
        self._seeds = seeds
        self._view = view
        self._make_notice = make_notice
        self._mates = MateBook(self)
        self._places: dict[str, tuple[int, int]] = {}
        self._following: set[str] = set()
        self._touched: dict[str, float] = {}

    @property
    def is_in_touch(self) -> bool:
        """Whether some registry that reaches a majority spoke lately."""
        now = time.monotonic()
        return any(now - at < _TOUCH_SECONDS for at in self._touched.values())

    def tell(self) -> None:
        """Something about this node changed: all registries should know."""
        payload = pack_message(self._make_notice())
        for mate in self._following:
            stream = self._mates.find(mate)
            if stream is not None:
                stream.send(FrameKind.TELL, 0, payload)

    async def run(self) -> None:
        """Keeps a stream to every registry known, for ever."""
        was_in_touch = False
        while True:
            if self.is_in_touch != was_in_touch:
                was_in_touch = not was_in_touch
                log.info("in touch" if was_in_touch else "out of touch", node=self._node)
            wanted = set(self._seeds()) | self._view.registries
            async with asyncio.TaskGroup() as group:
                for mate in wanted:
                    if self._mates.find(mate) is None:
                        group.create_task(self._follow(mate))
            await asyncio.sleep(_LOOK_EVERY)

    async def _follow(self, mate: str) -> None:
        try:
            stream = await self._mates.reach(mate)
        except Breakdown:
            return
        self._following.add(mate)
        stream.send(FrameKind.TELL, 0, pack_message(self._make_notice()))
        life, place = self._places.get(mate, (0, 0))
        stream.send(FrameKind.TELL, 0, pack_message(
            kinds.Follow(node=self._node, registry_life=life, place=place)))

    def on_tell(self, stream: MateStream, payload: bytes) -> None:
        """A part of a feed has come."""
        feed = unpack_message(payload)
        if not isinstance(feed, kinds.Feed):
            return
        life, place = self._places.get(stream.mate, (0, 0))
        # Changes that do not join on to what we have tell of a gap.
        joins = feed.frame or (feed.registry_life == life and feed.place - len(feed.entries) <= place)
        if not joins:
            self._places.pop(stream.mate, None)
            stream.send(FrameKind.TELL, 0, pack_message(kinds.Follow(node=self._node)))
            return
        self._places[stream.mate] = (feed.registry_life, feed.place)
        if feed.in_touch:
            self._touched[stream.mate] = time.monotonic()
        if feed.proxies:
            self._view.proxies = feed.proxies
        for entry in feed.entries:
            self._view.take(entry)

    def on_lost(self, stream: MateStream) -> None:
        """A registry is out of reach; the rounds will find it again."""
        self._following.discard(stream.mate)
        log.info("registry lost", mate=stream.mate)

    def on_hop(self, exchange: Exchange, payload: bytes) -> None:
        """Registries send no hops."""
        exchange.close()

    def on_call(self, stream: MateStream, number: int, payload: bytes) -> None:
        """Registries call for nothing."""
