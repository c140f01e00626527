"""Limits on workspaces that get more than others that also wait.

Load: more is asked than all targets serve, and the requests of some workspaces
wait at many routers, those of others at few. The router that polls first takes
what becomes free, so the former would get most of it, whatever capacity is
configured.
"""

from crowwinch.sharing._claim import Claim

# Use of a workspace, as a multiple of an even use, from which it leaves room to
# others.
_MAX_LEAD = 1.15
_LEAD_EXPONENT = 3.0
# Lead below which a workspace is behind others. The counts of peers are up to
# two seconds old.
_BEHIND_LEAD = 0.9


class Leads:
    """Decides how much room workspaces leave to others that wait."""

    @staticmethod
    def limit_fraction(claim: Claim) -> float:
        """Returns the fraction of its limits that a workspace may use."""
        return max(claim.lead / _MAX_LEAD, 1.0) ** -_LEAD_EXPONENT

    @staticmethod
    def is_behind(lead: float) -> bool:
        """Returns whether a workspace gets clearly less than others.

        Args:
            lead: Its use divided by an even use of all that is served, 0 if no
                workspace waits.
        """
        return 0.0 < lead < _BEHIND_LEAD
