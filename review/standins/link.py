"""A relay that stands for the link between clients and a machine: a delay and a bandwidth."""

import contextlib
import queue
import socket
import struct
import threading
import time

_CHUNK_BYTES = 1460
# What a sender may have on the way; the kernel doubles it.
_WINDOW_BYTES = 8 * 1024


class Link:
    """Listens at an address and passes bytes on to another one, both ways."""

    def __init__(
        self, target: tuple[str, int], delay_seconds: float, bytes_per_second: float
    ) -> None:
        self._target = target
        self._delay_seconds = delay_seconds
        self._bytes_per_second = bytes_per_second

    def start(self, address: tuple[str, int]) -> None:
        """Begins to accept connections, in threads that end with the process."""
        listener = socket.create_server(address, backlog=128)
        _run(self._accept, listener)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            client, _address = listener.accept()
            _run(self._carry, client)

    def _carry(self, client: socket.socket) -> None:
        server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # Before the connection is made: the window of the connection follows from it.
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW_BYTES)
        try:
            server.connect(self._target)
        except OSError:
            _reset(client)
            return
        for end in (client, server):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        _run(self._pass_on, client, server, 1e9)
        _run(self._pass_on, server, client, self._bytes_per_second)

    def _pass_on(self, source: socket.socket, sink: socket.socket, bytes_per_second: float) -> None:
        """Passes one direction on: each piece takes its time on the link, then the delay."""
        on_the_way: queue.SimpleQueue[tuple[float, bytes | None]] = queue.SimpleQueue()
        _run(_deliver, on_the_way, sink)
        while True:
            try:
                piece = source.recv(_CHUNK_BYTES)
            except OSError:
                piece = None
            if piece:
                time.sleep(len(piece) / bytes_per_second)
            on_the_way.put((time.monotonic() + self._delay_seconds, piece))
            if not piece:
                return


def _deliver(
    on_the_way: "queue.SimpleQueue[tuple[float, bytes | None]]", sink: socket.socket
) -> None:
    while True:
        due_at, piece = on_the_way.get()
        time.sleep(max(0.0, due_at - time.monotonic()))
        try:
            if piece is None:
                _reset(sink)
                return
            if not piece:
                sink.shutdown(socket.SHUT_WR)
                return
            sink.sendall(piece)
        except OSError:
            return


def _reset(end: socket.socket) -> None:
    """Ends a connection by a reset, as the other side of the link did."""
    with contextlib.suppress(OSError):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        # Wakes a thread that reads from it.
        end.shutdown(socket.SHUT_RD)
    end.close()


def _run(function, *arguments) -> None:
    threading.Thread(target=function, args=arguments, daemon=True).start()
