"""What a target writes on a connection, and which of it belongs to an answer."""


def pack(status, attempt, body, *lines, length=True):
    head = [b"HTTP/1.1 %d Said" % status, *lines]
    if attempt:
        head.append(b"Attempt-Id: " + attempt)
    if length:
        head.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(head) + b"\r\n\r\n" + body


class SimulatedTargetConnection:
    """One connection, as the target sees it."""

    def __init__(self, transport):
        self.transport, self.requests, self.answered = transport, [], 0
        self.outbox, self.is_ending = b"", False
        # How much was delivered, where the last whole answer ends, and where
        # the first byte lies that belongs to no answer.
        self.delivered, self.whole_until, self.foreign_from = 0, 0, None

    def send(self, data, is_foreign=False):
        if is_foreign and self.foreign_from is None:
            self.foreign_from = self.delivered + len(self.outbox)
        self.outbox += data
        if not is_foreign:
            self.whole_until = self.delivered + len(self.outbox)

    def cut(self, data):
        self.outbox += data
        self.foreign_from, self.is_ending = 0, True

    @property
    def is_clean(self):
        """Whether exactly the whole answers to its requests came on it."""
        if self.foreign_from is not None and self.foreign_from < self.delivered:
            return False
        return self.answered == len(self.requests) and self.delivered >= self.whole_until

    @property
    def is_open(self):
        return self.transport.is_open and not self.is_ending
