"""Parses the command line and runs the program or tool that it names."""

import asyncio
import importlib
import os

from absl import flags

import marblefold

# Defines the flags that several programs share.
import marblefold.program_flags
from marblefold.errors import MeshError

__all__ = ["main"]

# Imports dominate the start-up time, so only the program that runs is imported.
_PROGRAMS = {
    "gateway": ("marblefold.gateway.program", "GatewayProgram"),
    "proxy": ("marblefold.proxy.program", "ProxyProgram"),
    "registry": ("marblefold.registry.program", "RegistryProgram"),
    "store": ("marblefold.register_store.program", "StoreProgram"),
}

FLAGS = flags.FLAGS
flags.DEFINE_bool("check_settings", False, "Check the config file of the node and exit.")
flags.DEFINE_bool("version", False, "Print the version and exit.")

_PLANNER_TOOL = "plan"
_WINDOWS_TOOL = "windows"
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
    """Runs the program or tool that the arguments (argv) name; returns the exit status.

    0: success, 1: the program cannot run, 2: invalid command line.  The tools define
    their own exit statuses.
    """
    if _PLANNER_TOOL in arguments[1:]:
        # Each tool defines its flags on import, so only the requested one is imported.
        from marblefold.planner.command import run_planner
    if _WINDOWS_TOOL in arguments[1:]:
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
        positional = FLAGS(arguments)
    except flags.Error as error:
        print(f"{error}\n{_usage()}")
        return 2
    if FLAGS.version:
        print(f"marblefold {marblefold.__version__}")
        return 0
    if positional[1:] == [_PLANNER_TOOL]:
        return run_planner()
    if positional[1:2] == [_WINDOWS_TOOL]:
        return run_windows(positional[2:])
    if positional[1:2] == ["partners"]:
        return run_partners(positional[2:])
    if positional[1:2] == ["owners"]:
        return run_owners(positional[2:])
    if positional[1:2] == ["trace"]:
        return run_trace(positional[2:])
    if positional[1:2] == ["history"]:
        return run_history(positional[2:])
    if positional[1:2] == ["rehearse"]:
        return run_rehearsal(positional[2:])
    if len(positional) != 2 or positional[1] not in _PROGRAMS:
        print(_usage())
        return 2
    return _run_program(positional[1])


def _run_program(name: str) -> int:
    from marblefold.logs import log, start_logs
    from marblefold.node_config.reading import list_unknown_fields, read_config_text
    from marblefold.node_config.watching import ConfigWatch

    start_logs(name)
    try:
        watch = ConfigWatch()
        if FLAGS.check_settings:
            log.info(
                "config is valid",
                node=watch.config.node_name,
                passed_over=list_unknown_fields(read_config_text(os.environ)),
            )
            return 0
        module, class_name = _PROGRAMS[name]
        program_class = getattr(importlib.import_module(module), class_name)
        asyncio.run(_serve(program_class, watch))
    except MeshError as error:
        log.error("cannot run", step=error.step, reason=error.reason)
        return 1
    except OSError as error:
        log.error("cannot run", step="listen", reason=str(error))
        return 1
    return 0


async def _serve(program_class, watch) -> None:
    await program_class(watch).run()
