"""Tests that the programs start without the modules that lean_imports replaces."""

import subprocess
import sys


def test_every_program_imports_without_the_replaced_modules():
    code = (
        "from marblefold.lean_imports import stub_unused_modules; stub_unused_modules()\n"
        "import sys\n"
        "import marblefold.proxy.program, marblefold.registry.program\n"
        "import marblefold.register_store.program\n"
        "from aiohttp._http_parser import HttpRequestParser\n"
        "assert 'aiohttp.client' not in sys.modules\n"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert result.returncode == 0, result.stderr


def test_a_proxy_does_not_import_the_configuration_parser():
    code = (
        "from marblefold.lean_imports import stub_unused_modules; stub_unused_modules()\n"
        "import sys, marblefold.proxy.program\n"
        "print([name for name in ('cattrs', 'urllib.error') if name in sys.modules])\n"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert result.stdout.strip() == "[]", result.stdout + result.stderr


def test_a_proxy_without_tracing_imports_no_tracing_and_a_registry_no_rehearsal():
    code = (
        "from marblefold.lean_imports import stub_unused_modules; stub_unused_modules()\n"
        "import sys, marblefold.proxy.program, marblefold.registry.program\n"
        "names = ('tracing.tracer', 'tracing.recorder', 'rehearsal.simulation',"
        " 'planner.mesh_state')\n"
        "print([name for name in names if 'marblefold.' + name in sys.modules]\n"
        "      + [name for name in ('opentelemetry',) if name in sys.modules])\n"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert result.stdout.strip() == "[]", result.stdout + result.stderr
