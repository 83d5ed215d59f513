"""The settings, time, random numbers and actions that the components of one balancer share.

The balancer is deterministic: the time comes with each event, random numbers come from one seeded generator,
and actions are collected in the order in which they are decided.
"""

import random
from typing import Final

from sidecar_proxy.balancer import events as api

NO_HOME_ZONE: Final = -1  # stands in place of a zone number where no zone is preferred


class DecisionContext:
    """The settings and the random number generator, and the time and actions of the event being handled."""

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = now_us
        self.home_zone = NO_HOME_ZONE  # a zone is preferred only where traffic between zones has a cost
        if settings.cross_zone_fee > 0:
            self.home_zone = settings.zone
        self.actions: list[api.Action] = []

    def take_actions(self) -> list[api.Action]:
        """Return the actions decided since the last call."""
        actions = self.actions
        self.actions = []
        return actions
