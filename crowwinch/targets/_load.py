"""Load reports of targets."""

from typing import Annotated

import msgspec

from crowwinch.errors import DECODE_ERRORS
from crowwinch.targets._client import (
    IncompleteAnswerError,
    TargetCall,
    TargetClient,
)

_LOAD_TIMEOUT_S = 1.0
_Count = Annotated[int, msgspec.Meta(ge=0)]


class TargetLoad(msgspec.Struct, frozen=True):
    """Load report of a target.

    Attributes:
        incarnation: Changes when the target restarts; 0 when not reported.
        running: Number of requests being executed.
        waiting: Number of requests queued inside the target.
        leaving: Whether the target is shutting down.
        time_to_first_token_s: Recent time to the first token in seconds.
    """

    running: _Count
    waiting: _Count
    incarnation: int = 0
    leaving: bool = False
    time_to_first_token_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0


_DECODER = msgspec.json.Decoder(TargetLoad)


async def fetch_load(client: TargetClient, base_url: str) -> TargetLoad:
    """Fetches the load report of a target.

    Raises:
        TargetError: If the target does not answer or the answer is malformed.
    """
    answer = await client.open(
        TargetCall("load", base_url, "GET", "/load", {}, b"", _LOAD_TIMEOUT_S)
    )
    try:
        if answer.status != 200:
            raise IncompleteAnswerError(f"/load has status {answer.status}")
        return _DECODER.decode(await answer.read())
    except DECODE_ERRORS as error:
        raise IncompleteAnswerError(f"/load is malformed: {error}") from error
    finally:
        answer.close()
