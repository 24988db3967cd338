"""Counts the bytes of a connection that its peer has not acknowledged yet."""

import asyncio
import fcntl
import struct
import termios

__all__ = ["count_undelivered_bytes"]

_INTEGER = struct.Struct("i")


def count_undelivered_bytes(transport: asyncio.WriteTransport) -> int:
    """Returns how many bytes were written to the transport and not acknowledged by the peer.

    These are the bytes in the buffer of the transport and in the send queue of the kernel
    (SIOCOUTQ, tcp(7)).  A closed sending side counts as one byte until it is acknowledged.
    The kernel's share is 0 for a transport without an open socket.
    """
    buffered = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return buffered
    try:
        reply = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INTEGER.size))
    except OSError:
        # Not a TCP socket, or the connection is gone.
        return buffered
    (queued,) = _INTEGER.unpack(reply)
    return buffered + queued
