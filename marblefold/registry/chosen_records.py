"""Applies the records that the stores have chosen to the state of a registry."""

from collections.abc import Callable

from marblefold.configuration.reading import read_configuration
from marblefold.configuration.row_encoding import encode_rows
from marblefold.history.recorder import HistoryRecorder
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.maintenance.coordinator import MAINTENANCE_REGISTER, MaintenanceCoordinator
from marblefold.register_store.view import read_view
from marblefold.registry.catalogue import Catalogue
from marblefold.registry.site_coordination import SiteCoordinator
from marblefold.registry.store_client import ChosenRecord

__all__ = ["ChosenRecordHandler"]


class ChosenRecordHandler:
    """Puts each record where it belongs, so that followers get it; keeps the newest view."""

    def __init__(
        self,
        catalogue: Catalogue,
        history: HistoryRecorder,
        maintenance: MaintenanceCoordinator,
        site_coordinator: SiteCoordinator,
        registry_address: Callable[[str], str],
        on_members: Callable[[set[str]], None],
    ) -> None:
        """registry_address: returns the address of the registry beside a store.

        on_members: receives the addresses of the stores of each newer view.
        """
        # Addresses of the registries; they run on the same machines as the stores.
        self.registries: set[str] = set()
        self._catalogue = catalogue
        self._history = history
        self._maintenance = maintenance
        self._site_coordinator = site_coordinator
        self._registry_address = registry_address
        self._on_members = on_members
        self._view_number = 0

    def apply(self, record: ChosenRecord) -> None:
        """Applies a chosen record and publishes it to the followers."""
        if record.register == "configuration":
            self._history.record(record.number, record.value)
            rows = encode_rows(read_configuration(record.value))
            self._put("configuration", "configuration", record.number, rows)
        elif record.register.startswith("evacuation/"):
            zone = record.register.partition("/")[2]
            self._put("evacuation", zone, record.number, record.value)
        elif record.register == MAINTENANCE_REGISTER:
            self._maintenance.apply_document(record.number, record.value)
        elif record.register == "view":
            self._apply_view(record)
        else:
            self._site_coordinator.apply_record(record.register, record.number, record.value)

    def _apply_view(self, record: ChosenRecord) -> None:
        if record.number < self._view_number:
            return
        self._view_number = record.number
        members = set(read_view(record.value).members)
        self._on_members(members)
        registries = sorted(self._registry_address(member) for member in members)
        self.registries = set(registries)
        self._put("registries", "registries", record.number, "\n".join(registries).encode())

    def _put(self, kind: str, key: str, number: int, value: bytes) -> None:
        self._catalogue.put(messages_pb2.Entry(kind=kind, key=key, number=number, value=value))
