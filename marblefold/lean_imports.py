"""Prevents libraries from importing modules that no marblefold program uses.

The peak memory of each process has a cost, and a slow start delays recovery
(docs/architecture.md lists what each replaced module costs).  The library
functions that the programs use behave as before.
"""

import importlib.util
import sys
import types

__all__ = ["stub_unused_modules"]


def stub_unused_modules() -> None:
    """Replaces the unused modules; must run before anything else is imported.

    Raises ImportError if aiohttp is not installed.
    """
    # No program uses TLS; asyncio and aiohttp work without the ssl module.
    sys.modules["ssl"] = None  # type: ignore[assignment]
    # aiohttp/__init__.py imports the whole client; the programs use only the
    # parsers, which are separate modules.
    spec = importlib.util.find_spec("aiohttp")
    if spec is None or spec.submodule_search_locations is None:
        raise ImportError("aiohttp is not installed", name="aiohttp")
    package = types.ModuleType("aiohttp")
    package.__path__ = list(spec.submodule_search_locations)
    sys.modules["aiohttp"] = package
    # aiohttp.helpers imports this module only to look up proxies for the client.
    request = types.ModuleType("urllib.request")
    vars(request).update(getproxies=dict, proxy_bypass=lambda host: False)
    sys.modules["urllib.request"] = request
