"""The constant that spreads numbers for placements on which all sidecars agree. Pure."""

from typing import Final

# 2**64 divided by the golden ratio, odd (Knuth, TAOCP volume 3, section 6.4): multiplying by it spreads ids
# and keys that differ little.
HASH_MULTIPLIER: Final = 0x9E3779B97F4A7C15
