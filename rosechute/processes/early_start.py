"""What holds while a process still starts. To be imported before everything else.

Signals: SIGHUP would end it; the settings are read later anyway. SIGTERM ends it at once: it has taken nothing yet.
Garbage collection is off: nothing that is loaded goes away again; the program turns it on when it has started.
"""

from __future__ import annotations

import gc
import os
import signal
from types import FrameType


def _end(number: int, frame: FrameType | None) -> None:
    os._exit(0)


signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, _end)
gc.disable()
