"""Keeps libraries from importing modules that no program here uses.

The peak memory of each process has a price, and the time of a start delays
recovery.  Each replaced module was measured (docs/architecture.md has the
figures).  The functions of the libraries that are used here do not change.
"""

import importlib.util
import sys
import types

__all__ = ["stub_unused_modules"]


def stub_unused_modules() -> None:
    """Replaces the modules; call it before anything else is imported.

    Raises ImportError where aiohttp is not installed.
    """
    # No program uses TLS; asyncio and aiohttp work without the ssl module.
    sys.modules["ssl"] = None  # type: ignore[assignment]
    # The __init__ of aiohttp imports its whole client; only its parsers, which
    # are modules of their own, are used here.
    found = importlib.util.find_spec("aiohttp")
    if found is None or found.submodule_search_locations is None:
        raise ImportError("aiohttp is not installed", name="aiohttp")
    package = types.ModuleType("aiohttp")
    package.__path__ = list(found.submodule_search_locations)
    sys.modules["aiohttp"] = package
    # aiohttp's helpers import this only to look up proxies for its client.
    request = types.ModuleType("urllib.request")
    vars(request).update(getproxies=dict, proxy_bypass=lambda host: False)
    sys.modules["urllib.request"] = request
