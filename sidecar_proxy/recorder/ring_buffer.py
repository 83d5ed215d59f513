"""The last frames in a bounded number of bytes, packed in segments. Pure.

A frame takes some 150 bytes, a fifth of it once its segment is packed.
"""

from __future__ import annotations

import zlib
from collections import deque
from dataclasses import dataclass, field

SEGMENT = 64 * 1024  # bytes of frames, unpacked; one frame may be larger by itself
LEVEL = 1  # of zlib: a microsecond a frame


@dataclass(slots=True)
class RingBuffer:
    most: int  # bytes of all packed segments and the open one
    segments: deque[bytes] = field(default_factory=deque)
    packed_bytes: int = 0  # of the packed ones
    open: list[bytes] = field(default_factory=list)
    unpacked: int = 0  # bytes of those in `open`
    frame_count: int = 0  # that came, since the start
    is_complete: bool = True  # nothing has been dropped since

    def add(self, frame: bytes) -> None:
        self.open.append(len(frame).to_bytes(4, "big"))
        self.open.append(frame)
        self.unpacked += len(frame) + 4
        self.frame_count += 1
        if self.unpacked >= SEGMENT:
            self.close()

    def close(self) -> None:
        """Pack what is open."""
        if not self.open:
            return
        self.segments.append(zlib.compress(b"".join(self.open), LEVEL))
        self.packed_bytes += len(self.segments[-1])
        self.open.clear()
        self.unpacked = 0
        while self.packed_bytes + SEGMENT > self.most and self.segments:
            self.packed_bytes -= len(self.segments.popleft())
            self.is_complete = False

    def get_segments(self) -> list[bytes]:
        """All of it, the oldest first."""
        self.close()
        return list(self.segments)

    def take_segments(self) -> list[bytes]:
        """All of it, the oldest first; it is the caller's from now on."""
        segments = self.get_segments()
        self.segments.clear()
        self.packed_bytes = 0
        return segments
