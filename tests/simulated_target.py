"""The target's end of a connection, which tracks the bytes that belong to no answer."""


def pack(status, attempt, body, *lines, length=True):
    head = [b"HTTP/1.1 %d Said" % status, *lines]
    if attempt:
        head.append(b"Attempt-Id: " + attempt)
    if length:
        head.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(head) + b"\r\n\r\n" + body


class TargetEndpoint:
    """The target's end of one connection."""

    def __init__(self, transport):
        self.transport, self.requests, self.answered = transport, [], 0
        self.undelivered, self.is_closing = b"", False
        # Offsets in the bytes sent: how many were delivered, where the last complete
        # answer ends, and the first byte that belongs to no answer.
        self.delivered, self.complete_until, self.unsolicited_from = 0, 0, None

    def send(self, data, is_unsolicited=False):
        if is_unsolicited and self.unsolicited_from is None:
            self.unsolicited_from = self.delivered + len(self.undelivered)
        self.undelivered += data
        if not is_unsolicited:
            self.complete_until = self.delivered + len(self.undelivered)

    def send_last(self, data):
        self.undelivered += data
        self.unsolicited_from, self.is_closing = 0, True

    @property
    def is_clean(self):
        """Whether exactly the complete answers to all its requests were delivered."""
        if self.unsolicited_from is not None and self.unsolicited_from < self.delivered:
            return False
        return self.answered == len(self.requests) and self.delivered >= self.complete_until

    @property
    def is_open(self):
        return self.transport.is_open and not self.is_closing
