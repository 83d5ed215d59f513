"""The multiplier of the hashes that must be equal at all sidecars."""

from typing import Final

# 2**64 divided by the golden ratio, as an odd number (Knuth, TAOCP volume 3, section 6.4): multiplying by it
# distributes ids and keys evenly even if they differ little.
HASH_MULTIPLIER: Final = 0x9E3779B97F4A7C15
