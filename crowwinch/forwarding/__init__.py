"""Forwards HTTP requests and event streams from callers to targets."""

from crowwinch.forwarding._call import Call
from crowwinch.forwarding._connection_guard import ConnectionGuard
from crowwinch.forwarding._events import EventSplitter
from crowwinch.forwarding._exchange import (
    AttemptError,
    Exchange,
    TargetResponse,
)
from crowwinch.forwarding._forwarder import Forwarder
from crowwinch.forwarding._guarded_server import GuardedServer
from crowwinch.forwarding._memory import MemoryPool
from crowwinch.forwarding._messages import (
    AttemptHead,
    RequestHead,
    ResponseHead,
    WireCodec,
)
from crowwinch.forwarding._model import (
    Engine,
    GatewaySettings,
    RequestLimits,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    SocketAddress,
    Workspace,
)
from crowwinch.forwarding._server import CallerServer
from crowwinch.forwarding._sharing_state import SharingState
from crowwinch.forwarding._status_server import (
    StatusServer,
    max_status_connections,
)
from crowwinch.forwarding._stream_origins import (
    RECORD_RETENTION_S,
    LocalStreamOrigins,
    StreamOrigin,
    StreamOrigins,
    StreamOriginTable,
    TakenUpStream,
)
from crowwinch.forwarding._target_client import TargetClient
from crowwinch.forwarding._target_lives import TargetLives
from crowwinch.forwarding._target_set import Target, TargetSet
from crowwinch.sharing import PromptPart

__all__ = [
    "AttemptError",
    "AttemptHead",
    "Call",
    "CallerServer",
    "ConnectionGuard",
    "Engine",
    "EventSplitter",
    "Exchange",
    "Forwarder",
    "GatewaySettings",
    "GuardedServer",
    "LocalStreamOrigins",
    "MemoryPool",
    "PromptPart",
    "RECORD_RETENTION_S",
    "RequestHead",
    "RequestLimits",
    "ResponseHead",
    "Route",
    "RouteKind",
    "RoutingTable",
    "Service",
    "SharingState",
    "SocketAddress",
    "StatusServer",
    "StreamOrigin",
    "StreamOriginTable",
    "StreamOrigins",
    "TakenUpStream",
    "Target",
    "TargetClient",
    "TargetLives",
    "TargetResponse",
    "TargetSet",
    "WireCodec",
    "Workspace",
    "max_status_connections",
]
