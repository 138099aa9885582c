"""Reading of records from one file's values, and collection of the file's faults.

An invalid field doesn't hide other faults: every constraint whose fields are valid is checked.
"""

from collections.abc import Iterable, Mapping, Sequence
from difflib import get_close_matches
from functools import cached_property
from typing import Any, TypeVar

from runloft.config.documents import KeyPath
from runloft.config.faults import MIN_SIMILARITY, Fault, Severity, closest_match
from runloft.config.schema.kinds import InvalidValueError, Kind, quote_value
from runloft.config.schema.positions import Positions
from runloft.config.schema.records import REQUIRED, Named, Record, Rows, Setting, Table, settings_of
from runloft.config.schema.violations import Violation

RecordType = TypeVar("RecordType", bound=Record)


class Reader:
    """Reads records from one file's values and collects every fault."""

    def __init__(self, file: str, text: str = "") -> None:
        self.file = file
        self.text = text
        self.faults: list[Fault] = []

    @cached_property
    def positions(self) -> Positions:
        """The line numbers of the keys, computed on first use."""
        return Positions(self.text)

    def line(self, path: Sequence[str]) -> int:
        """Return the line of a key, or 0 if the file's text is unknown."""
        return self.positions.line(path) if self.text else 0

    def location(self, path: Sequence[str]) -> str:
        """Return a key's position as FILE:LINE, for reasons of faults."""
        return f"{self.file}:{self.positions.line(path)}"

    def fault(
        self,
        path: Sequence[str],
        code: str,
        reason: str,
        remedy: str = "",
        severity: Severity = Severity.FAULT,
    ) -> None:
        """Add a fault at a key; the empty path stands for the whole file."""
        key = ".".join(path) or "(file)"
        self.faults.append(Fault(self.file, self.line(path), key, code, reason, remedy, severity))

    def add(self, violations: Iterable[Violation]) -> None:
        """Add violations as faults of this file."""
        for violation in violations:
            self.fault(violation.path, violation.code, violation.reason, violation.remedy, violation.severity)

    def record(self, record: type[RecordType], raw: Any, path: KeyPath = ()) -> RecordType | None:
        """Return the record read from a table, or None if the value is not a table.

        A field is None in the record if its value is invalid, or if it is required and absent.
        """
        if not isinstance(raw, Mapping):
            self.fault(path, "wrong-type", f"{quote_value(raw)} is not a table", "a table")
            return None
        declared = settings_of(record)
        keys = [setting.key for setting in declared.values()]
        unknown = [key for key in raw if key not in keys]
        for key in unknown:
            reason = f"{quote_value(key)} is not a key of this table"
            self.fault((*path, key), "unknown-key", reason, closest_match(key, keys))
        misspelled = [key.casefold() for key in unknown]
        values: dict[str, Any] = {}
        invalid: set[str] = set()
        for field, setting in declared.items():
            if setting.key in raw:
                before = len(self.faults)
                values[field] = self._value(setting.kind, raw[setting.key], (*path, setting.key))
                if len(self.faults) > before:
                    invalid.add(field)
            elif self._lacks_value(setting, misspelled, path):
                values[field] = None
                invalid.add(field)
        instance = record(**values)
        self._check_constraints(instance, invalid, path)
        return instance

    def _lacks_value(self, setting: Setting, misspelled: Sequence[str], path: KeyPath) -> bool:
        """Return whether an absent key leaves its field without a value; report a missing required key."""
        if misspelled and get_close_matches(setting.key.casefold(), misspelled, 1, MIN_SIMILARITY):
            return True  # the misspelled key is already reported as unknown
        if setting.default is not REQUIRED:
            return False
        self.fault((*path, setting.key), "missing", "the required key is missing", setting.kind.expected)
        return True

    def _check_constraints(self, record: Record, invalid: set[str], path: KeyPath) -> None:
        declared = settings_of(type(record))
        for constraint in record.CONSTRAINTS:
            values = [getattr(record, field) for field in constraint.fields]
            if not invalid.isdisjoint(constraint.fields) or None in values or constraint.holds(*values):
                continue
            field_values = {field: getattr(record, field) for field in declared}
            reason = constraint.reason.format(**field_values)
            remedy = constraint.remedy.format(**field_values)
            key = declared[constraint.reported_field].key
            self.fault((*path, key), constraint.code, reason, remedy, constraint.severity)

    def _value(self, kind: Kind, raw: Any, path: KeyPath) -> Any:
        match kind:
            case Table():
                return self.record(kind.record, raw, path)
            case Rows():
                return self._rows(kind, raw, path)
            case Named():
                return self._named(kind, raw, path)
        try:
            return kind.parse(raw)
        except InvalidValueError as error:
            self.fault((*path, *error.subpath), error.code, error.reason, error.remedy)
            return None

    def _rows(self, kind: Rows, raw: Any, path: KeyPath) -> list[Record] | None:
        if not isinstance(raw, list):
            reason = f"{quote_value(raw)} is not a list of tables"
            self.fault(path, "wrong-type", reason, kind.expected)
            return None
        if len(raw) < kind.min_length:
            self.fault(path, "too-few", f"too few entries: {len(raw)}", kind.expected)
        rows = [self.record(kind.record, row, (*path, str(index))) for index, row in enumerate(raw)]
        return [row for row in rows if row is not None]

    def _named(self, kind: Named, raw: Any, path: KeyPath) -> dict[str, Record] | None:
        if not isinstance(raw, Mapping):
            self.fault(path, "wrong-type", f"{quote_value(raw)} is not a table", kind.expected)
            return None
        if len(raw) < kind.min_length:
            self.fault(path, "too-few", f"too few entries: {len(raw)}", kind.expected)
        records: dict[str, Record] = {}
        for name, table in raw.items():
            try:
                kind.names.parse(name)
            except InvalidValueError as error:
                self.fault((*path, name), error.code, error.reason, error.remedy)
            record = self.record(kind.record, table, (*path, name))
            if record is not None:
                records[name] = record
        return records
