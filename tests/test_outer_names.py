"""Guards against a rename that changes a name which leaves the process.

`fixtures/outer_names.txt` lists the names and texts that clients, servers, peers, operators, settings and
stored data rely on. Each has to stand in the package as a string, or as a field, an enum member, a keyword, a
class or a command that is written out under its own name.
"""

from __future__ import annotations

import ast
import tomllib
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LIST = ROOT / "tests" / "fixtures" / "outer_names.txt"
DEPLOY_FILE = ROOT / "deploy" / "balancer.toml"


def listed_names() -> list[str]:
    lines = LIST.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line and not line.startswith("# ")]


def string_texts(node: ast.AST) -> Iterator[str]:
    """Yields a string constant, also without the separators that a template has around a name."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
        text = node.value.decode("latin-1") if isinstance(node.value, bytes) else node.value
        yield text
        yield text.strip(" :=?&\n")
        yield text.partition("\t")[0]


def written_out_names(node: ast.AST) -> Iterator[str]:
    if isinstance(node, ast.keyword) and node.arg is not None:
        yield node.arg
    elif isinstance(node, ast.ClassDef | ast.FunctionDef):
        yield node.name
    elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
        yield node.target.id
    elif isinstance(node, ast.Assign) and isinstance(node.targets[0], ast.Name):
        yield node.targets[0].id


def documentation_of(tree: ast.Module) -> set[ast.AST]:
    """Returns the constants that are doc comments: a name that only they mention is gone from the code."""
    return {node.value for node in ast.walk(tree) if isinstance(node, ast.Expr)}


def names_in_package() -> set[str]:
    found: set[str] = set()
    for path in (ROOT / "notchjunction").rglob("*.py"):
        tree = ast.parse(path.read_text(encoding="utf-8"))
        documentation = documentation_of(tree)
        for node in ast.walk(tree):
            if node not in documentation:
                found.update(string_texts(node))
                found.update(written_out_names(node))
    return found


def test_every_outer_name_still_stands_in_the_package_or_the_deploy_file() -> None:
    deploy_keys = set(tomllib.loads(DEPLOY_FILE.read_text(encoding="utf-8")))
    names = listed_names()
    assert len(names) > 700
    assert sorted(set(names) - names_in_package() - deploy_keys) == []


def test_no_outer_name_is_listed_twice() -> None:
    names = listed_names()
    assert len(names) == len(set(names))
