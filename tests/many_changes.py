"""Many changes of many registers, and a registry that is notified of them."""

import json
import random
from types import SimpleNamespace

from marblefold.register_store.ballots import pack_accepted_state
from marblefold.register_store.changes import RegisterContent, set_configuration
from marblefold.registry.catalogue import Catalogue
from marblefold.registry.chosen_records import ChosenRecordHandler
from marblefold.registry.quorum_contact import QuorumContact
from marblefold.registry.store_client import StoreClient

CHANGES, REGISTERS = 1000, 200


def configuration_document(number):
    """Returns a valid configuration of some kilobytes."""
    routes = [
        {
            "name": f"look-{index}",
            "route-type": "read_only",
            "host-name": "shop",
            "path-prefix": f"/look-{index}/",
            "upstream": "quotes",
            "timeout-ms": 4000,
            "target-latency-ms": 1200,
            "max-attempts": 2,
        }
        for index in range(12)
    ]
    services = [{"name": "quotes", "health-check-path": "/h", "coldstart-per-s": 4.0}]
    return json.dumps(
        {"config-version": number, "route-list": routes, "service-list": services, "limits": {}}
    ).encode()


def register_name(index):
    return "configuration" if index == 0 else f"evacuation/zone-{index:03d}"


def change_of(index, number):
    """Returns the change with this number: a configuration, or an evacuation on or off."""
    if index == 0:
        return set_configuration(number, configuration_document(number))
    # Padded, so that all registers together do not fit into one answer.
    value = (b"on" if number % 2 else b"off").ljust(600)
    return lambda content: RegisterContent(content.number + 1, value)


async def change_all(core, proposer_of, changes=CHANGES, registers=REGISTERS, seed=7):
    """Changes every register at least once, and some of them often.

    Returns the expected number and value of each register.
    """
    rng = random.Random(seed)
    expected = {}
    for number in range(1, changes + 1):
        index = number - 1 if number <= registers else rng.randrange(registers)
        state = await core.change(
            proposer_of(number), register_name(index), change_of(index, number)
        )
        expected[register_name(index)] = (state.number, state.value)
    return expected


def accepted_at(member):
    return {
        register: (state.number, state.value)
        for register, state in member.acceptor.accepted_states.items()
    }


def chosen_at(member):
    return {
        register: (state.number, state.value) for register, state in member.chosen.states.items()
    }


def bytes_chosen_at(member):
    return sum(
        pack_accepted_state(register, state).ByteSize()
        for register, state in member.chosen.states.items()
    )


class Registry:
    """The real path of a record from the watch of one store into a registry's catalogue."""

    def __init__(self):
        self.catalogue = Catalogue(1)
        self.notification_count = 0
        history = SimpleNamespace(record=lambda number, body: None)
        records = ChosenRecordHandler(
            self.catalogue, history, None, None, lambda store: store, lambda members: None
        )
        self.client = StoreClient(
            "own:1",
            list,
            records.apply,
            QuorumContact(),
        )

    def watch(self, member):
        member.chosen.watch(self)

    # Takes the place of the connection from the store to the registry.
    def send(self, _kind, _number, payload):
        self.notification_count += 1
        self.client.on_notification(None, payload)

    def numbers(self):
        return {
            f"evacuation/{entry.key}" if entry.kind == "evacuation" else entry.kind: entry.number
            for entry in self.catalogue.snapshot()
        }


def numbers_of(expected):
    return {register: number for register, (number, _value) in expected.items()}
