"""Keeps the last frames in a limited number of bytes, compressed in segments. Pure.

A frame takes some 150 bytes, and a fifth of that once its segment is compressed.
"""

from __future__ import annotations

import zlib
from collections import deque
from dataclasses import dataclass, field

SEGMENT_BYTES = 64 * 1024  # uncompressed size at which a segment is closed; a frame may be larger
ZLIB_LEVEL = 1  # compresses a frame in one microsecond


@dataclass(slots=True)
class RingBuffer:
    """Compressed segments and one open segment; the oldest segments are dropped when the limit is reached."""

    max_bytes: int  # limit for all compressed segments and the open one
    segments: deque[bytes] = field(default_factory=deque)
    packed_bytes: int = 0  # size of the compressed segments
    open_segment: list[bytes] = field(default_factory=list)  # each frame after its length
    open_bytes: int = 0  # size of the open segment
    frame_count: int = 0  # number of frames added since the start
    is_complete: bool = True  # no frame has been dropped

    def add(self, frame: bytes) -> None:
        """Append a frame."""
        self.open_segment.append(len(frame).to_bytes(4, "big"))
        self.open_segment.append(frame)
        self.open_bytes += len(frame) + 4
        self.frame_count += 1
        if self.open_bytes >= SEGMENT_BYTES:
            self.close_segment()

    def close_segment(self) -> None:
        """Compress the open segment, and drop the oldest segments beyond the limit."""
        if not self.open_segment:
            return
        self.segments.append(zlib.compress(b"".join(self.open_segment), ZLIB_LEVEL))
        self.packed_bytes += len(self.segments[-1])
        self.open_segment.clear()
        self.open_bytes = 0
        while self.packed_bytes + SEGMENT_BYTES > self.max_bytes and self.segments:
            self.packed_bytes -= len(self.segments.popleft())
            self.is_complete = False

    def get_segments(self) -> list[bytes]:
        """Return all segments, the oldest first, including the open one."""
        self.close_segment()
        return list(self.segments)

    def take_segments(self) -> list[bytes]:
        """Return all segments, the oldest first, and remove them from the buffer."""
        segments = self.get_segments()
        self.segments.clear()
        self.packed_bytes = 0
        return segments
