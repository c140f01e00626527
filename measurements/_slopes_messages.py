"""Sizes of the messages between routers as encoded, with framing."""

from collections.abc import Iterator
from typing import Any

from crowwinch.generated import peer_messages as messages
from crowwinch.generated.bases import MessageStruct
from crowwinch.peers import FRAMING_BYTES, LIFE_BYTES, encode
from measurements._fit import slope

_LIFE = 1_764_700_000_000
_INCARNATION = _LIFE << 16
_TAG = _LIFE % (1 << 24)
_DIGEST = "0123456789abcdef" * 4
_KEY = f"1.router-101.{_LIFE}.router-202.{_LIFE}." + "ab" * 16
_ATTEMPT = "ab" * 16 + "-1"
_NUMBER = 0xF2345678
_GRANT = 1_000_000


def _size(message: MessageStruct) -> int:
    return len(encode(message)) + FRAMING_BYTES


def linked_size(message: MessageStruct, is_answer: bool = False) -> int:
    """Returns the size over a reliable link, as most messages travel.

    Args:
        message: What the frame carries.
        is_answer: Whether it goes over a connection that the peer opened.
    """
    frame = messages.LinkFrame(_TAG, 50_000, 50_000, encode(message))
    return _size(frame) + LIFE_BYTES * is_answer


ACKNOWLEDGEMENT_BYTES = _size(messages.LinkFrame(_TAG, 0, 50_000, b""))


def _updates(count: int) -> list[messages.MemberUpdate]:
    return [
        messages.MemberUpdate(f"router-{100 + index}", _INCARNATION, 1)
        for index in range(count)
    ]


def _entries(count: int) -> list[messages.DemandEntry]:
    return [
        messages.DemandEntry(
            _GRANT + index, _NUMBER, _NUMBER, 0, 500, 60_000, False, _NUMBER
        )
        for index in range(count)
    ]


def _demand(requests: int) -> int:
    return linked_size(
        messages.Demand(
            10_000_000,
            _entries(requests),
            [],
            [],
            [
                messages.Completion(_GRANT + index, 400, 0)
                for index in range(requests)
            ],
            [],
        )
    )


def _grants(requests: int) -> int:
    return linked_size(
        messages.Grants(
            10_000_000,
            [
                messages.Grant(_GRANT, _GRANT + index, _NUMBER, 400, 100_000)
                for index in range(requests)
            ],
            [],
            [messages.GroupStatus(_NUMBER, 1_000_000, 500)],
        ),
        is_answer=True,
    )


def _registration(requests: int) -> int:
    return linked_size(
        messages.Registration(
            10_000_000,
            _entries(requests),
            [
                messages.InFlight(
                    _GRANT, _GRANT + index, _NUMBER, _NUMBER, _NUMBER, 400
                )
                for index in range(requests)
            ],
            [
                messages.WorkspaceLag(_NUMBER, _NUMBER, 100_000)
                for _ in range(requests)
            ],
        )
    )


def lines() -> Iterator[dict[str, Any]]:
    """Yields sizes of fixed messages and slopes of the others."""
    fixed = {
        "Claim": messages.Claim(_KEY, _DIGEST, _ATTEMPT),
        "ClaimAnswer": messages.ClaimAnswer(_KEY, _ATTEMPT, 1, b""),
        "Confirm": messages.Confirm(_KEY, _ATTEMPT),
        "ConfirmAnswer": messages.ConfirmAnswer(_KEY, _ATTEMPT, True),
        "Reserve": messages.Reserve(_KEY),
        "ReserveAnswer": messages.ReserveAnswer(_KEY, True),
        "Outcome without the answer": messages.Outcome(_KEY, _ATTEMPT, 1, b""),
        "CrashReport": messages.CrashReport(
            "ab" * 16, "target-1-1", False, False
        ),
    }
    for name, message in fixed.items():
        yield {"message": name, "bytes": linked_size(message)}
    announce = messages.ConfigurationAnnounce(1_000, _DIGEST)
    yield {"message": "ConfigurationAnnounce", "bytes": _size(announce)}
    pull = messages.ConfigurationPull(1_000, _DIGEST, ["workspaces-100"])
    yield {"message": "ConfigurationPull", "bytes": _size(pull)}
    yield {
        "message": "LinkFrame without a payload",
        "bytes": ACKNOWLEDGEMENT_BYTES,
    }
    yield slope(
        "ping",
        "bytes",
        "updates",
        (0, 3, 6),
        lambda count: _size(
            messages.Ping(
                100_000, _INCARNATION, 1_000, _DIGEST[:16], _updates(count)
            )
        ),
        0,
        6,
    )
    for name, measure in (
        ("demand", _demand),
        ("grants", _grants),
        ("registration", _registration),
    ):
        yield slope(name, "bytes", "requests", (1, 5, 15), measure, 1, 10)
