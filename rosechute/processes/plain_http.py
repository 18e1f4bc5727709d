"""Prevent the import of `ssl` in a process that uses plain HTTP only. Import this module before everything else.

Loading `ssl` and its certificates takes 0.1 s and 4 MB at each start. The HTTP library and the
event loop work without it if it cannot be imported.
"""

import sys

sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]  # makes `import ssl` raise ImportError
