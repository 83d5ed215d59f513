"""A large fleet's decisions in virtual time, by the number of sidecars that share sixty upstreams.

    python -m benchmarks.large_fleet [--seeds 2] [--sidecars 10 40 200] [--scenes crowded-join crowded-zone]

For each scene: the share of requests served, refused and failed, attempts, probes, dials and calls for lists
a request, the most calls in a second, when the last sidecar had its list, and the fullest upstream; then, of
clients' first tries, how many were served within the aim, by one try or another, and after it. The crowded
scenes are at a load of 0.5, with a burst of twice that. Counts of a model: the same on any machine.
"""

from __future__ import annotations

import argparse
from collections import Counter

from sidecar_proxy.emulator.fleet import START_US
from sidecar_proxy.emulator.scenarios import CROWDED, SCENES, plan


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--sidecars", type=int, nargs="+", default=[10, 40, 200])
    scenes = SCENES | CROWDED
    parser.add_argument("--scenes", nargs="+", choices=scenes, default=list(scenes))
    told = parser.parse_args()
    print(
        "scene        sidecars  served refused failed  att/r  probes/r  dials/r  calls/r  calls/s  listed  "
        "most-open  fallen  in-time   late"
    )
    for name in told.scenes:
        for instances in told.sidecars:
            load = 0.5 if name in CROWDED else 0.6
            seen = [scenes[name](plan(instances, load=load, seed=seed)) for seed in range(1, told.seeds + 1)]
            requests = sum(one.requests for one in seen)
            answers = sum((sum(one.answers.values(), Counter()) for one in seen), Counter())
            listed = max((when for one in seen for when in one.listed_us.values()), default=START_US)
            ok, refused, failed = (answers[how] / requests for how in ("ok", "refuse", "fail"))
            attempts = sum(one.attempts for one in seen) / requests
            probes = sum(one.probes for one in seen) / requests
            dials = sum(one.dials.total() for one in seen) / requests
            calls = sum(one.calls.total() for one in seen) / requests
            busiest = max(max(one.calls.values()) for one in seen)
            fullest = max(max(one.most_open.values()) for one in seen)
            fallen = sum(len(one.fallen) for one in seen)
            first = sum(one.originals.total() for one in seen)
            in_time, late = (
                sum(found.total() for found in kind) / first
                for kind in ([one.in_time for one in seen], [one.late for one in seen])
            )
            print(
                f"{name:12} {instances:8}  {ok:6.3f} {refused:7.3f} {failed:6.3f} {attempts:6.2f} "
                f"{probes:9.3f} {dials:8.3f} {calls:8.4f} {busiest:8} {(listed - START_US) / 1e6:7.1f} "
                f"{fullest:10} {fallen:7} {in_time:8.3f} {late:6.3f}"
            )


if __name__ == "__main__":
    main()
