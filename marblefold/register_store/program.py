"""The store process: replicates the operator's records on disk with the other stores."""

import asyncio
import os
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

from marblefold.errors import DiskError, MeshError
from marblefold.inner_protocol.exchange import Exchange
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import messages_pb2, pack_message, unpack_message
from marblefold.inner_protocol.peer_connection import PeerConnection
from marblefold.inner_protocol.peer_connection_pool import PeerConnectionPool
from marblefold.inner_protocol.ports import STORE, inner_address
from marblefold.logs import log
from marblefold.node_config.watching import ConfigWatch
from marblefold.register_store.acceptor import META_RECORD, VIEW_REGISTER, Acceptor
from marblefold.register_store.acceptor_writer import ThreadWriter
from marblefold.register_store.ballots import read_accepted_state
from marblefold.register_store.call_kinds import Outcome, RegisterCallKind
from marblefold.register_store.chosen_registers import ChosenRegisters
from marblefold.register_store.heartbeat import answer_heartbeat
from marblefold.register_store.peer_calls import StorePeers
from marblefold.register_store.proposer import Proposer
from marblefold.register_store.register_files import RegisterFiles
from marblefold.register_store.register_service import RegisterService
from marblefold.register_store.replica import Replica
from marblefold.register_store.timed_records import DiskStatistics, TimedRecords
from marblefold.statistics_log import log_statistics

__all__ = ["StoreProgram", "open_acceptor"]

_DISK_RETRY_INTERVAL_SECONDS = 0.3
# Leaves time within the termination grace period for proposals in progress to end.
_HANDOVER_TIMEOUT_SECONDS = 4.0


class StoreProgram:
    """Creates the components of a store and runs them."""

    def __init__(self, watch: ConfigWatch) -> None:
        config = watch.config
        if not config.data_directory:
            raise MeshError("config", "field data-directory is missing")
        self._watch = watch
        self._config = config
        self._address = inner_address(config.host, config, STORE)
        seeds = [inner_address(seed.host, config, STORE) for seed in config.seeds]
        self._disk_statistics = DiskStatistics()
        self._acceptor = open_acceptor(
            self._address,
            config.data_directory,
            seeds,
            config.is_first_start,
            self._disk_statistics,
        )
        writer = ThreadWriter()
        self._peers = StorePeers(self._acceptor, PeerConnectionPool(self), writer=writer)
        self._proposer = Proposer(
            self._peers, f"{self._address}/{self._acceptor.generation}/{os.urandom(4).hex()}"
        )
        self._chosen = ChosenRegisters()
        self._replica = Replica(
            self._acceptor,
            self._peers,
            self._proposer,
            self._chosen,
            seeds,
            config.machine_losses,
            writer=writer,
        )
        self._service = RegisterService(self._replica.registers)
        self._stop = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serves until SIGTERM is received."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._watch.reload)
        host, _separator, port = self._address.rpartition(":")
        await loop.create_server(lambda: PeerConnection(self), host, int(port), backlog=128)
        log.info(
            "serving",
            node=self._config.node_name,
            inner=self._address,
            standing=self._acceptor.voting_status.value,
        )
        tasks = [
            loop.create_task(background)
            for background in (
                self._watch.run(),
                self._replica.run(),
                log_statistics("register statistics", self._proposer.statistics),
                log_statistics("disk statistics", self._disk_statistics),
            )
        ]
        await self._stop.wait()
        await self._replica.hand_over(_HANDOVER_TIMEOUT_SECONDS)
        # Waits for proposals in progress, so that clients learn their outcome.
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=1.5)
        for task in tasks:
            task.cancel()

    def on_call(self, connection: PeerConnection, number: int, payload: bytes) -> None:
        """Answers a call of a store or a registry."""
        message = unpack_message(payload)
        if isinstance(message, messages_pb2.StoreCall):
            self._start_task(self._answer_store(connection, number, message))
        elif isinstance(message, messages_pb2.RegisterCall):
            self._start_task(self._answer_registry(connection, number, message))

    def on_notification(self, connection: PeerConnection, payload: bytes) -> None:
        """Takes in a newly chosen record that another store sent."""
        message = unpack_message(payload)
        if isinstance(message, messages_pb2.Accepted):
            self._replica.learn_chosen(message.register, read_accepted_state(message))

    def on_lost(self, connection: PeerConnection) -> None:
        """Removes the watch of a registry whose connection was lost."""
        self._chosen.remove_watcher(connection)

    def on_hop(self, exchange: Exchange, payload: bytes) -> None:
        """Closes the exchange: stores serve no hops."""
        exchange.close()

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer_store(
        self, connection: PeerConnection, number: int, call: messages_pb2.StoreCall
    ) -> None:
        answer = await self._replica.answer_beside_reads(call)
        connection.send(FrameKind.REPLY, number, pack_message(answer))

    async def _answer_registry(
        self, connection: PeerConnection, number: int, call: messages_pb2.RegisterCall
    ) -> None:
        answer = await self._execute_call(connection, call)
        connection.send(FrameKind.REPLY, number, pack_message(answer))

    async def _execute_call(
        self, connection: PeerConnection, call: messages_pb2.RegisterCall
    ) -> messages_pb2.RegisterAnswer:
        if call.kind == RegisterCallKind.WATCH:
            self._chosen.watch(connection)
            self._send_view(connection)
            return messages_pb2.RegisterAnswer(outcome=Outcome.APPLIED)
        if call.kind == RegisterCallKind.HEARTBEAT:
            return answer_heartbeat(self._acceptor)
        return await self._service.execute(call)

    def _send_view(self, connection: PeerConnection) -> None:
        """Sends the current view; the first one was never proposed, so no register holds it."""
        view = self._acceptor.view
        if view is not None:
            connection.send(
                FrameKind.NOTIFICATION,
                0,
                pack_message(
                    messages_pb2.Accepted(
                        register=VIEW_REGISTER, number=view.number, value=view.pack()
                    )
                ),
            )


def open_acceptor(
    address: str,
    folder: str,
    seeds: list[str],
    is_first: bool,
    statistics: DiskStatistics,
    sleep: Callable[[float], None] = time.sleep,
) -> Acceptor:
    """Opens the acceptor on the records in the folder.

    Retries until the disk can be read; the store answers nothing until then.
    """
    while True:
        try:
            records = TimedRecords(RegisterFiles(folder, META_RECORD), statistics)
            return Acceptor(address, records, seeds, is_first)
        except DiskError as error:
            log.warning(
                "records could not be loaded; retrying", step=error.step, reason=error.reason
            )
        sleep(_DISK_RETRY_INTERVAL_SECONDS)
