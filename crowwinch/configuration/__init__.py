"""Operators' table, documents, and the configuration in force."""

from crowwinch.configuration._build import (
    Documents,
    build_documents,
    read_documents,
    table_of,
    write_documents,
)
from crowwinch.configuration._check import CheckedTable, check_table
from crowwinch.configuration._diff import describe_changes
from crowwinch.configuration._events import (
    CLOCK_SKEW_ALLOWANCE_S,
    EventChange,
    EventClock,
)
from crowwinch.configuration._loader import (
    digest_of,
    load_snapshot,
    parse_manifest,
)
from crowwinch.configuration._models import (
    WantedModel,
    format_models,
    parse_models,
)
from crowwinch.configuration._service_client import ServiceClient
from crowwinch.configuration._snapshot import (
    EffectiveLimits,
    Snapshot,
    key_hash,
)
from crowwinch.configuration._spread import ConfigurationSpread
from crowwinch.configuration._store import ConfigurationStore
from crowwinch.configuration._table import Table, read_table, write_table
from crowwinch.configuration._template import example_table
from crowwinch.configuration._watcher import ConfigurationReader

__all__ = [
    "CLOCK_SKEW_ALLOWANCE_S",
    "CheckedTable",
    "ConfigurationReader",
    "ConfigurationSpread",
    "ConfigurationStore",
    "Documents",
    "EffectiveLimits",
    "EventChange",
    "EventClock",
    "ServiceClient",
    "Snapshot",
    "Table",
    "WantedModel",
    "build_documents",
    "check_table",
    "describe_changes",
    "digest_of",
    "example_table",
    "format_models",
    "key_hash",
    "load_snapshot",
    "parse_manifest",
    "parse_models",
    "read_documents",
    "read_table",
    "table_of",
    "write_documents",
    "write_table",
]
