"""Cases of an independent review of the router fleet, and their stand-ins."""
