"""Keeps the TLS library out of a process that only speaks plain HTTP. Import it before everything else.

Loading `ssl`, with its certificates, takes a tenth of a second and 4 MB at every start. The HTTP library and the
event loop work without it if it cannot be imported.
"""

import sys

sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]  # from here on `import ssl` raises ImportError
