"""Keeps the TLS library out of a process that speaks plain HTTP only. To be imported before everything else.

The HTTP library and the event loop do without it where it can't be imported. Loading it, with its certificates, takes
a tenth of a second and 4 MB at every start.
"""

import sys

sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]  # an import of it fails from here on
