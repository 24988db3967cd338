"""The command line of the programs and tools."""

import asyncio
import importlib
import os

from absl import flags

import marblefold

# Defines the flags that several programs share.
import marblefold.program_flags
from marblefold.errors import MeshError

__all__ = ["main"]

# Only the program that runs is imported: imports dominate the time of a start.
_PROGRAMS = {
    "gateway": ("marblefold.gateway.program", "GatewayProgram"),
    "proxy": ("marblefold.proxy.program", "ProxyProgram"),
    "registry": ("marblefold.registry.program", "RegistryProgram"),
    "store": ("marblefold.register_store.program", "StoreProgram"),
}

FLAGS = flags.FLAGS
flags.DEFINE_bool("check_settings", False, "Check the config file of the node and end.")
flags.DEFINE_bool("version", False, "Print the version and end.")

_PLANNER = "plan"
_WINDOWS = "windows"
_SITE_TOOLS = ("partners", "owners")


def _usage() -> str:
    return (
        "usage: python3 -m marblefold PROGRAM [--check_settings] [--version] [--help]\n"
        "       python3 -m marblefold plan (--from_system=HOST:PORT | --current=FILE) ...\n"
        "       python3 -m marblefold windows --system=HOST:PORT list|set|withdraw|floors\n"
        "       python3 -m marblefold partners --registry=HOST:PORT list|grant|withdraw|export\n"
        "       python3 -m marblefold owners --registry=HOST:PORT list|set\n"
        "       python3 -m marblefold trace --registry=HOST:PORT show ID|doubles|list\n"
        "       python3 -m marblefold history --registry=HOST:PORT list|show N|diff N M\n"
        "       python3 -m marblefold rehearse (--registry=HOST:PORT | --snapshot=FILE) ...\n"
        f"PROGRAM is one of: {', '.join(sorted(_PROGRAMS))}\n"
        "The config file is named by MARBLEFOLD_NODE_FILE.\n"
    )


def main(arguments: list[str]) -> int:
    """Runs the program or tool named by the arguments (argv); the exit status.

    0 success, 1 a program that cannot run, 2 a wrong command line; tools have
    statuses of their own.
    """
    if _PLANNER in arguments[1:]:
        # Each tool defines its flags at import: only the one that was asked for is imported.
        from marblefold.planner.command import run_planner
    if _WINDOWS in arguments[1:]:
        from marblefold.maintenance.command import run_windows
    if set(_SITE_TOOLS) & set(arguments[1:]):
        from marblefold.site_command import run_owners, run_partners
    if "trace" in arguments[1:]:
        from marblefold.tracing.command import run_trace
    if "history" in arguments[1:]:
        from marblefold.history.command import run_history
    if "rehearse" in arguments[1:]:
        from marblefold.rehearsal.command import run_rehearsal
    if "--help" in arguments or "-h" in arguments:
        print(_usage() + FLAGS.get_help())
        return 0
    try:
        rest = FLAGS(arguments)
    except flags.Error as error:
        print(f"{error}\n{_usage()}")
        return 2
    if FLAGS.version:
        print(f"marblefold {marblefold.__version__}")
        return 0
    if rest[1:] == [_PLANNER]:
        return run_planner()
    if rest[1:2] == [_WINDOWS]:
        return run_windows(rest[2:])
    if rest[1:2] == ["partners"]:
        return run_partners(rest[2:])
    if rest[1:2] == ["owners"]:
        return run_owners(rest[2:])
    if rest[1:2] == ["trace"]:
        return run_trace(rest[2:])
    if rest[1:2] == ["history"]:
        return run_history(rest[2:])
    if rest[1:2] == ["rehearse"]:
        return run_rehearsal(rest[2:])
    if len(rest) != 2 or rest[1] not in _PROGRAMS:
        print(_usage())
        return 2
    return _run(rest[1])


def _run(name: str) -> int:
    from marblefold.logs import log, start_logs
    from marblefold.node_config.reading import read_config
    from marblefold.node_config.watching import ConfigWatch

    start_logs(name)
    try:
        config = read_config(os.environ)
        if FLAGS.check_settings:
            log.info("config is good", node=config.node_name)
            return 0
        module, program = _PROGRAMS[name]
        kind = getattr(importlib.import_module(module), program)
        asyncio.run(_serve(kind, ConfigWatch(config)))
    except MeshError as error:
        log.error("cannot run", step=error.step, reason=error.reason)
        return 1
    except OSError as error:
        log.error("cannot run", step="listen", reason=str(error))
        return 1
    return 0


async def _serve(kind, watch) -> None:
    await kind(watch).run()
