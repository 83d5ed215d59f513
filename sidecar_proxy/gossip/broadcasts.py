"""What is still to be told on packets: the least told first, at the same cost however many there are."""

from __future__ import annotations

from dataclasses import dataclass

from sidecar_proxy.gossip.codec import Signed

MOST = 6  # on one packet
ROOM = 900  # bytes of them on one packet
Key = tuple[str, ...]


@dataclass(slots=True)
class Rumour:
    told: Signed
    times: int = 0  # that it went out
    late: bool = False  # who joins can wait: there are as many at a start as there are instances

    @property
    def level(self) -> int:
        return 2 * self.times + self.late


class Rumours:
    """By key, each on the level of how often it was told."""

    def __init__(self) -> None:
        self.by_key: dict[Key, Rumour] = {}
        self.levels: dict[int, dict[Key, Rumour]] = {}

    def __len__(self) -> int:
        return len(self.by_key)

    def put(self, key: Key, told: Signed, late: bool = False) -> None:
        """In place of an older one of this key. What no packet can hold is left to exchanges: it would keep
        back all others.
        """
        if key in self.by_key:
            self.drop(key)
        if size_of(told) > ROOM:
            return
        self.rise(key, Rumour(told, late=late))

    def rise(self, key: Key, rumour: Rumour) -> None:
        self.by_key[key] = rumour
        self.levels.setdefault(rumour.level, {})[key] = rumour

    def drop(self, key: Key) -> Rumour:
        rumour = self.by_key.pop(key)
        level = self.levels[rumour.level]
        del level[key]
        if not level:
            del self.levels[rumour.level]
        return rumour

    def clear(self) -> None:
        self.by_key.clear()
        self.levels.clear()

    def choose(self, most: int, room: int, times: int) -> list[Signed]:
        """For one packet: at most so many and so many bytes. Each counts as told; after `times` it is out."""
        chosen: list[tuple[Key, Rumour]] = []
        for level in sorted(self.levels):
            for key, rumour in self.levels[level].items():
                room -= size_of(rumour.told)
                if room < 0 or len(chosen) >= most:
                    return self.told(chosen, times)
                chosen.append((key, rumour))
        return self.told(chosen, times)

    def told(self, chosen: list[tuple[Key, Rumour]], times: int) -> list[Signed]:
        for key, rumour in chosen:
            self.drop(key)
            rumour.times += 1
            if rumour.times < times:
                self.rise(key, rumour)
        return [rumour.told for _, rumour in chosen]


def size_of(told: Signed) -> int:
    """Bytes that it takes on a packet, at most."""
    return len(told.body) + len(told.author) + 84
