"""Pages name only files and symbols that exist: each is looked up in the tree."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
# Records of the past: what they name stood there at their time.
HISTORICAL = {"docs/design/naming.md"}
HISTORICAL_FOLDERS = {"incidents"}
CODE_SPAN = re.compile(r"`([^`\n]+)`")
FILE_NAME = re.compile(r"[\w./-]+\.(py|toml|md|json|txt|yaml)")
SYMBOL = re.compile(r"[A-Za-z_]\w*(\.[A-Za-z_]\w*)*(\(\))?")
LOOKS_LIKE_CODE = re.compile(r"[a-z0-9]_[a-z0-9]|^_|[a-z][A-Z]|\.[a-z]|\(\)$")
# Names that belong to other programs or to the wire, and files that operators write themselves.
FOREIGN = {
    "LD_PRELOAD",
    "LimitNOFILE",
    "STANDING.md",
    "config.json",
}


def pages():
    found = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted((ROOT / "docs").rglob("*.md"))]
    return [
        page
        for page in found
        if str(page.relative_to(ROOT)) not in HISTORICAL and not HISTORICAL_FOLDERS & set(page.parts)
    ]


def is_docstring(node):
    return isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)


def words_of_module(path):
    """Yield a module's name, its identifiers, and the words of its strings other than docstrings."""
    yield path.stem
    tree = ast.parse(path.read_text())
    docstrings = {node.value for node in ast.walk(tree) if is_docstring(node)}
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str) and node not in docstrings:
            yield from re.findall(r"\w+", node.value)
            yield re.sub(r"\W+", "_", node.value)  # a label of a metric
        for field in ("id", "attr", "name", "arg", "module"):
            value = getattr(node, field, None)
            if isinstance(value, str):
                yield from value.split(".")
                yield value.lower()  # a member's name as a label


def words_of_the_tree():
    """Return every name of the program, its tests, its settings and its committed documents."""
    words = set()
    for folder in (ROOT / "runloft", ROOT / "tests"):
        words.update(path.name for path in folder.rglob("*") if path.is_dir())
        for path in folder.rglob("*.py"):
            if path.parent != Path(__file__).parent:
                words.update(words_of_module(path))
    settings = [ROOT / "pyproject.toml", *(ROOT / "deploy").rglob("*.toml"), *(ROOT / "docs").rglob("*.json")]
    for path in settings:
        words.update(re.findall(r"\w+", path.read_text()))
    return words


WORDS = words_of_the_tree()
FILES = {
    str(path.relative_to(ROOT))
    for folder in ("runloft", "tests", "docs", "deploy", ".ci", "journal")
    for path in (ROOT / folder).rglob("*")
} | {path.name for path in ROOT.iterdir()}


def file_exists(name, page):
    beside = (page.parent / name).resolve()
    return beside.exists() or any(path == name or path.endswith(f"/{name}") for path in FILES)


def is_known(symbol):
    return set(symbol.removesuffix("()").split(".")) <= WORDS


def missing_names(page):
    """Yield each code span of a page that names a file or a symbol which is nowhere in the tree."""
    text = re.sub(r"```.*?```", "", page.read_text(), flags=re.DOTALL)
    for span in CODE_SPAN.findall(text):
        if span in FOREIGN:
            continue
        if FILE_NAME.fullmatch(span):
            if not file_exists(span, page):
                yield span
        elif SYMBOL.fullmatch(span) and LOOKS_LIKE_CODE.search(span) and not is_known(span):
            yield span


@pytest.mark.parametrize("page", pages(), ids=lambda page: str(page.relative_to(ROOT)))
def test_a_page_names_only_files_and_symbols_that_exist(page):
    assert sorted(set(missing_names(page))) == []


@pytest.mark.parametrize("page", pages(), ids=lambda page: str(page.relative_to(ROOT)))
def test_a_page_links_only_to_files_that_exist(page):
    links = re.findall(r"\]\(([^)#:\s]+)(?:#[^)]*)?\)", page.read_text())
    assert [link for link in links if not (page.parent / link).exists()] == []


def test_a_wrong_name_is_found(tmp_path):
    page = tmp_path / "page.md"
    page.write_text("`core/no_such_file.py` keeps `NoSuchClass.method` and `Core`, in `no_such_function()`.")
    assert sorted(missing_names(page)) == ["NoSuchClass.method", "core/no_such_file.py", "no_such_function()"]
