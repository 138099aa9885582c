"""Generation of each application's values from a fleet, by unifying its layers in a fixed order."""

from typing import Any

from runloft.config.documents import Document
from runloft.config.fleet.model import Fleet, Volume
from runloft.config.fleet.records import ApplicationRecord
from runloft.config.operator.records import OperatorRecord
from runloft.config.schema.layers import Layer, unify
from runloft.config.schema.reader import Reader
from runloft.config.schema.records import document_of

FLEET_CLASS_KEYS = ("work_ms", "share", "writes")  # left out of the classes in applications' files


def volumes_by_application(fleet: Fleet) -> dict[str, list[Volume]]:
    """Return the volumes that each application's sidecar serves."""
    volumes: dict[str, list[Volume]] = {application.name: [] for application in fleet.record.applications}
    for volume in fleet.volumes:
        for sidecar in volume.sidecars:
            if sidecar in volumes:
                volumes[sidecar].append(volume)
    return volumes


class Generator:
    """Generates the values of applications' files; the shared settings are computed once."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._volumes = volumes_by_application(fleet)
        self._shared_settings = _shared_settings(fleet)

    def document(self, index: int, reader: Reader) -> Document:
        """Return the values of one application's file.

        Keys that its layers set to different values are reported to ``reader``.
        """
        record = self.fleet.record
        application = record.applications[index]
        settings = self._settings(index, application, reader)
        limits = self._limits(index, application, reader)
        document: dict[str, Any] = {
            "name": application.name,
            "listen": application.listen,
            "discovery": record.service.discovery,
            "seed": "0",
        }
        if limits:
            document["limits"] = limits
        if application.objects_listen and self._volumes[application.name]:
            document["objects"] = self._objects(application)
        if record.agreement:
            document["agreement"] = document_of(record.agreement)
        if application.admin_listen:
            document["admin"] = {"listen": application.admin_listen}
        document["settings"] = settings
        return {key: value for key, value in document.items() if value is not None}

    def record(self, index: int) -> OperatorRecord | None:
        """Return the record of one application's file, or None if its values can't be read as one."""
        reader = Reader(self.fleet.file)
        return reader.record(OperatorRecord, self.document(index, Reader(self.fleet.file)))

    def _settings(self, index: int, application: ApplicationRecord, reader: Reader) -> Document:
        application_layer = Layer(
            f'application "{application.name}"',
            application.settings or {},
            ("applications", str(index), "settings"),
        )
        shared = Layer("the fleet", self._shared_settings | {"SlotNo": index}, ())
        fleet = Layer("the fleet's settings", self.fleet.record.settings, ("settings",))
        return unify((shared, fleet, application_layer), reader)

    def _limits(self, index: int, application: ApplicationRecord, reader: Reader) -> Document:
        application_layer = Layer(
            f'application "{application.name}"',
            application.limits or {},
            ("applications", str(index), "limits"),
        )
        return unify(
            (Layer("the fleet's limits", self.fleet.record.limits, ("limits",)), application_layer), reader
        )

    def _objects(self, application: ApplicationRecord) -> Document:
        service = self.fleet.record.service
        volumes = sorted(self._volumes[application.name], key=lambda volume: volume.name)
        return {
            "listen": application.objects_listen,
            "store": service.store,
            "unit_bytes": service.unit_bytes,
            "max_body": service.max_body,
            "server_port": service.server_port,
            "classes": dict(service.operations or {}),
            "volumes": {
                volume.name: {
                    "id": f"{volume.id:016x}",
                    "plan": volume.plan.name,
                    "hosts": len(volume.sidecars),
                }
                for volume in volumes
            },
        }


def _shared_settings(fleet: Fleet) -> Document:
    """Return the settings that are the same in every application's file."""
    record = fleet.record
    classes = [
        {key: value for key, value in document_of(row).items() if key not in FLEET_CLASS_KEYS}
        for row in record.classes
    ]
    return {
        "GroupSize": len(record.applications),
        "Classes": classes,
        "ServiceLevels": [document_of(plan) for plan in record.plans],
        "Localities": sorted({node.zone for node in fleet.nodes if node.zone}),
        "Extra": {"ClassWrites": [row.writes for row in record.classes]},
    }
