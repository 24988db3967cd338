"""Leaves out what no program of ours uses but libraries import all the same.

Memory is priced at its peak for every process, and starting counts against
recovery.  Each part left out below was measured; docs/architecture.md has
the figures.  Nothing here changes what the libraries do for us.
"""

import importlib.util
import sys
import types

__all__ = ["leave_out"]


def leave_out() -> None:
    """To be called before anything else is imported."""
    # No program speaks TLS; asyncio and aiohttp do without ssl where it is
    # missing.
    sys.modules["ssl"] = None  # type: ignore[assignment]
    # The package file of aiohttp imports its whole client; only the parsers,
    # which stand in modules of their own, are used here.
    found = importlib.util.find_spec("aiohttp")
    if found is None or found.submodule_search_locations is None:
        raise ImportError("aiohttp is not installed", name="aiohttp")
    package = types.ModuleType("aiohttp")
    package.__path__ = list(found.submodule_search_locations)
    sys.modules["aiohttp"] = package
    # aiohttp's helpers look up proxies of the environment for its client.
    request = types.ModuleType("urllib.request")
    vars(request).update(getproxies=dict, proxy_bypass=lambda host: False)
    sys.modules["urllib.request"] = request
