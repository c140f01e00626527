"""Membership and state exchange between the routers of a fleet."""

from crowwinch.fleet._directory_exchange import DirectoryExchange
from crowwinch.fleet._directory_pull import DirectoryPull
from crowwinch.fleet._directory_sync import DirectorySync
from crowwinch.fleet._endpoint import FleetEndpoint
from crowwinch.fleet._peer_table import PeerTable
from crowwinch.fleet._service import FleetService
from crowwinch.fleet._stream_origins import FleetStreamOrigins
from crowwinch.fleet._stream_records import StreamRecords

__all__ = [
    "DirectoryExchange",
    "DirectoryPull",
    "DirectorySync",
    "FleetEndpoint",
    "FleetService",
    "PeerTable",
    "FleetStreamOrigins",
    "StreamRecords",
]
