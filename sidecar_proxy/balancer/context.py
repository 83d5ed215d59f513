"""The settings, clock, random numbers and actions that the parts of one balancer share.

The balancer is pure: the time comes with each event, random numbers come from one seeded generator, and
what is to be done is collected as actions in the order in which it is decided.
"""

import random
from typing import Final

from sidecar_proxy.balancer import events as api

NO_HOME_ZONE: Final = -1


class DecisionContext:
    """The state of the event that is being handled, and what stays the same for all events."""

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = now_us
        self.home_zone = NO_HOME_ZONE  # zones matter only where crossing them costs
        if settings.cross_zone_fee > 0:
            self.home_zone = settings.zone
        self.actions: list[api.Action] = []

    def take_actions(self) -> list[api.Action]:
        """Return the actions decided so far and begin a new list."""
        actions = self.actions
        self.actions = []
        return actions
