"""Checks on the source: allowed imports, names of the platform, docstrings.

A module of a layer imports only from that layer and from layers nearer to core. The
product imports no test code, and its modules have no import cycle.
"""

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PACKAGE = "lavenderstack"
LAYERS = ["core", "border", "node", "platform", "tools"]
NON_PRODUCT_PACKAGES = {"standins", "tests", "bench", "pytest", "hypothesis"}
# Core does no I/O, and only its module clock reads a clock.
IO_MODULES = {"asyncio", "socket", "selectors", "subprocess", "threading", "aiohttp"}
CLOCK_MODULES = {"time", "datetime"}


def modules(folder):
    found = sorted((ROOT / folder).rglob("*.py"))
    return [path for path in found if not path.name.endswith("_test.py")]


def imports(path):
    """Yield the full names that a module imports, also inside functions."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path}: relative import"
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def _layer_rank(name):
    return LAYERS.index(name) if name in LAYERS else 0


def forbidden_imports(path):
    layer = path.relative_to(ROOT / PACKAGE).parts[0]
    for name in imports(path):
        first, *rest = name.split(".")
        if first in NON_PRODUCT_PACKAGES:
            yield name
        if layer not in LAYERS:
            continue
        if first == PACKAGE and _layer_rank(rest[0]) > _layer_rank(layer):
            yield name
        if (
            layer == "core"
            and path.name != "clock.py"
            and first in IO_MODULES | CLOCK_MODULES
        ):
            yield name


# Names of the platform's interface; only its adapter may contain them.
PLATFORM_NAMES = (
    "kv-",
    "op/config",
    "servers/",
    "api_keys",
    "sync_replicas",
    "max_stale",
    "db_role",
    "SINCE ",
    "NOSTMT",
    "READONLY",
    "WRONGNODE",
    "MAXCONN",
    "LAGGING",
    "Fence-Token",
    "/promote",
    "LAVENDERSTACK_CONFIG",
    "op/evacuate",
    "evac_ms",
    "cold_per_s",
    "cold_left_ms",
    "cold_start_s",
)


def strings(path):
    """Yield the text constants of a module, its documentation included."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.value


MODULES_OUTSIDE_PLATFORM = [p for p in modules(PACKAGE) if p.parent.name != "platform"]


class TestPlatform:
    @pytest.mark.parametrize(
        "path", MODULES_OUTSIDE_PLATFORM, ids=lambda path: path.stem
    )
    def test_only_the_adapter_contains_its_names(self, path):
        found_names = [w for text in strings(path) for w in PLATFORM_NAMES if w in text]
        assert found_names == []

    @pytest.mark.parametrize(
        "path", MODULES_OUTSIDE_PLATFORM, ids=lambda path: path.stem
    )
    def test_only_the_command_line_imports_it(self, path):
        prefix = f"{PACKAGE}.platform"
        found = [name for name in imports(path) if name.startswith(prefix)]
        assert not found or path.name == "__main__.py"


class TestLayers:
    @pytest.mark.parametrize(
        "path", modules(PACKAGE), ids=lambda path: str(path.relative_to(ROOT))
    )
    def test_a_module_imports_only_towards_core(self, path):
        assert list(forbidden_imports(path)) == []

    def test_every_module_has_a_docstring(self):
        folders = (PACKAGE, "standins", "bench", "tests")
        paths = [path for folder in folders for path in modules(folder)]
        undocumented = [
            p for p in paths if not ast.get_docstring(ast.parse(p.read_text()))
        ]
        assert undocumented == []

    def test_the_product_starts_no_processes(self):
        names = {"subprocess", "multiprocessing", "os.fork", "concurrent.futures"}
        found = [
            (path, name)
            for path in modules(PACKAGE)
            for name in imports(path)
            if any(name == n or name.startswith(f"{n}.") for n in names)
        ]
        assert found == []


def module_name(path):
    name = ".".join(path.relative_to(ROOT).with_suffix("").parts)
    return name.removesuffix(".__init__")


def module_imports(path, known_modules):
    """Return the product's modules that a module imports, also for type hints."""
    found = set()
    for name in imports(path):
        found |= {name, name.rpartition(".")[0]} & known_modules
    return found - {module_name(path)}


class TestImportCycles:
    def test_modules_have_no_import_cycle(self):
        paths = modules(PACKAGE)
        known_modules = {module_name(path) for path in paths} - {PACKAGE}
        dependencies = {
            module_name(path): module_imports(path, known_modules) for path in paths
        }
        TopologicalSorter(dependencies).prepare()
