"""Availability zones that the operator has evacuated."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Evacuated:
    """An evacuation that the store holds.

    Attributes:
        zone: Name of the availability zone.
        revision: Store revision at which it became known.
    """

    zone: str
    revision: int


class EvacuatedZones:
    """Evacuations by item key.

    Load: an availability zone fails or is repaired, and nothing more must be
    sent to its targets, although their entries say that they accept requests.
    """

    def __init__(self, is_known_zone: Callable[[str], bool]) -> None:
        """Creates an instance without evacuations.

        Args:
            is_known_zone: Returns whether the deployment has a zone.
                Evacuations of other zones have no effect.
        """
        self._is_known_zone = is_known_zone
        self._evacuations: dict[str, _Evacuated] = {}

    @property
    def revisions(self) -> dict[str, int]:
        """Revisions at which evacuations became known, by zone."""
        return {
            each.zone: each.revision
            for each in self._evacuations.values()
            if self._is_known_zone(each.zone)
        }

    def __contains__(self, key: str) -> bool:
        """Returns whether an item of this key has been read."""
        return key in self._evacuations

    def start(self, key: str, zone: str, revision: int) -> None:
        """Starts an evacuation; one that is in force goes on."""
        if key in self._evacuations:
            return
        self._evacuations[key] = _Evacuated(zone, revision)
        fields = {"zone": zone, "revision": revision}
        if self._is_known_zone(zone):
            _LOGGER.info("evacuation started", extra=fields)
        else:
            _LOGGER.warning(
                "evacuation of an unknown zone ignored", extra=fields
            )

    def end(self, key: str, revision: int) -> None:
        """Ends an evacuation if there is one."""
        ended = self._evacuations.pop(key, None)
        if ended is not None and self._is_known_zone(ended.zone):
            _LOGGER.info(
                "evacuation ended",
                extra={"zone": ended.zone, "revision": revision},
            )
