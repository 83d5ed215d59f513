"""A thousand sidecars lose etcd together: dials a second while it is away, and at its return.

    python -m benchmarks.reconnect [--sidecars 1000] [--away 60]

The followers of as many sidecars in virtual time; dials are refused at once while etcd is away (the most that
they can come to), and answered after a millisecond when it is back.
"""

from __future__ import annotations

import argparse
import heapq
import random
import sys
from collections import Counter

from sidecar_proxy.discovery.etcd import api_pb2 as pb
from sidecar_proxy.discovery.etcd.follower import Action, Dial, EtcdFollower, SendRange, SendWatch

TRIP_US = 1000
ENDPOINTS = 3


def play(sidecars: int, away_s: float, seed: int) -> tuple[list[int], list[float], list[int]]:
    """Dials in each second of the absence; seconds from the return till each watches; dials and lists in each
    tenth of a second after it."""
    dice = random.Random(seed)
    followers = [EtcdFollower("/n/", ENDPOINTS, False, random.Random(dice.random())) for _ in range(sidecars)]
    header = pb.ResponseHeader(cluster_id=7, revision=10)
    queue: list[tuple[int, int, str]] = []
    away_us, dials, after, back = int(away_s * 1e6), Counter[int](), Counter[int](), dict[int, float]()

    def perform(number: int, now_us: int, actions: list[Action]) -> None:
        one = followers[number]
        for action in actions:
            if isinstance(action, Dial):
                if now_us < away_us:
                    dials[now_us // 1_000_000] += 1
                    perform(number, now_us, one.failed(now_us, "refused"))
                else:
                    after[(now_us - away_us) // 100_000] += 1
                    heapq.heappush(queue, (now_us + TRIP_US, number, "up"))
            elif isinstance(action, SendWatch) and now_us >= away_us:
                back.setdefault(number, (now_us + TRIP_US - away_us) / 1e6)
            elif isinstance(action, SendRange) and not action.request.count_only and now_us >= away_us:
                raise AssertionError("a list, though nothing was compacted")
        heapq.heappush(queue, (one.due_us, number, "tick"))

    for number, one in enumerate(followers):
        one.start(-3)
        one.connected(-2)
        one.range_received(-1, pb.RangeResponse(header=header))
        perform(number, 0, one.failed(0, "reset"))
    while queue and len(back) < sidecars:
        now_us, number, what = heapq.heappop(queue)
        one = followers[number]
        perform(number, now_us, one.connected(now_us) if what == "up" else one.tick(now_us))
    return (
        [dials[at] for at in range(int(away_s))],
        sorted(back.values()),
        [after[at] for at in range(max(after, default=0) + 1)],
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--sidecars", type=int, default=1000)
    parser.add_argument("--away", type=float, default=60.0, help="seconds")
    parser.add_argument("--seed", type=int, default=1)
    told = parser.parse_args()
    dials, back, after = play(told.sidecars, told.away, told.seed)
    print(f"{told.sidecars} sidecars, etcd away for {told.away:.0f} s, seed {told.seed}")
    print(
        f"dials a second: {dials[0]} in the first, {max(dials[5:], default=0)} at most from the sixth on, "
        f"over {ENDPOINTS} members"
    )
    print(
        f"back: watched again after {back[len(back) // 2]:.2f} s (median), {back[-1]:.2f} s (last); "
        f"with at most {max(after)} dials in a tenth of a second; no lists"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
