"""The end of an evacuation never shortens the cold time that a target has reported."""

import time
from datetime import timedelta

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.proxy.program import ProxyProgram
from marblefold.request_path.local_target import Heartbeat
from tests.mesh_on_loopback import make_config, make_watch


def make_proxy():
    config = make_config(
        "127.0.0.1",
        7000,
        "listen-addresses.outbound=127.0.0.1:7002\nlisten-addresses.readiness=127.0.0.1:7003\n"
        "app-address=127.0.0.1:7004\nupstream=quotes\n",
    )
    return ProxyProgram(make_watch(config))


def test_the_end_of_an_evacuation_does_not_shorten_a_reported_cold_time(monkeypatch):
    """After a power loss, a proxy may learn of the end after its target reported to be cold."""
    now = [100.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    proxy = make_proxy()
    proxy.target.apply_heartbeat(
        Heartbeat("i1", "quotes", "", "hall", 12, False, timedelta(seconds=2.5), 1)
    )
    now[0] += 0.03
    proxy.view.apply(
        messages_pb2.Entry(kind="evacuation", key="hall", life=1, number=2, value=b"off")
    )
    now[0] += 1.6
    assert proxy.target.cold_until > now[0]
