"""Tests of the mutation tables and their runner: every guard and every selected test must exist, and a run that tests nothing fails."""

import re
from functools import cache

import pytest

from harness.model_checking.steps import BEGINNINGS
from harness.mutations import runner as mutations
from harness.mutations.model_checker import MODEL
from harness.mutations.mutation import CAUGHT, ROOT, GuardNotFoundError, Mutation
from harness.mutations.runner import MUTATIONS

WORD = re.compile(r"\w+")
OPERATORS = {"and", "or", "not"}


def _name(mutation):
    return f"{mutation.rule}: {mutation.fault}"


@cache
def _sources():
    return {path: path.read_text() for path in (ROOT / "sumachook").rglob("*.py")}


@cache
def _tests(test_path):
    """Returns the text of a test file or folder, which contains the names of its tests, with the names of the starting states."""
    path = ROOT / test_path
    files = path.rglob("*.py") if path.is_dir() else [path]
    parameters = BEGINNINGS if test_path == MODEL else ()
    return "\n".join([test_path, *parameters, *(f"{file.name}\n{file.read_text()}" for file in files)]).lower()


def _mutation(guard, file=""):
    return Mutation("NONE", "a guard of this test", guard, "pass", "tests/none.py", "none", file)


def test_every_guard_occurs_exactly_once():
    """The runner needs each guard to occur exactly once in the product, with a replacement that differs from it."""
    lost = []
    for mutation in MUTATIONS:
        times = sum(
            text.count(mutation.guard) for path, text in _sources().items() if str(path).endswith(mutation.file)
        )
        if times != 1 or mutation.guard == mutation.replacement:
            lost.append((_name(mutation), times))
    assert len(MUTATIONS) > 300 and lost == []


def test_every_mutation_names_existing_tests():
    """Each word of a test expression must occur in the test file of the mutation; otherwise it would select no test."""
    unknown = [
        (_name(mutation), word)
        for mutation in MUTATIONS
        for word in WORD.findall(mutation.test_expression.lower())
        if word not in OPERATORS and word not in _tests(mutation.test_path)
    ]
    assert unknown == []


def test_no_mutation_is_listed_twice():
    """The tables must not contain the same guard, replacement and fault twice."""
    names = [(_name(mutation), mutation.guard, mutation.replacement) for mutation in MUTATIONS]
    assert len(names) == len(set(names))


@pytest.mark.parametrize(("text", "times"), [("other\n", 0), ("guard\nguard\n", 2)])
def test_guard_that_does_not_occur_exactly_once_is_an_error(tmp_path, text, times):
    """A guard that is missing or occurs twice must raise an error instead of testing the wrong place."""
    (tmp_path / "sumachook").mkdir()
    (tmp_path / "sumachook" / "part.py").write_text(text)
    with pytest.raises(GuardNotFoundError) as raised:
        _mutation("guard").find_guard(tmp_path)
    assert raised.value.times == times


def test_guard_is_found_in_the_named_file(tmp_path):
    """A guard that occurs in two files must be found in the file that the mutation names."""
    (tmp_path / "sumachook").mkdir()
    for name in ("one.py", "two.py"):
        (tmp_path / "sumachook" / name).write_text("guard\n")
    assert _mutation("guard", "two.py").find_guard(tmp_path).name == "two.py"


@pytest.mark.parametrize(
    ("verdict", "code"), [(CAUGHT, 0), ("not caught", 1), ("the text of the guard occurs 0 times instead of once", 1)]
)
def test_run_fails_and_prints_undetected_mutations(monkeypatch, capsys, verdict, code):
    """The run must exit with 0 only if the mutation was detected, and must print an undetected one with its verdict."""
    monkeypatch.setattr(mutations, "MUTATIONS", (_mutation("guard"),))
    monkeypatch.setattr(Mutation, "verdict", lambda mutation: verdict)
    with pytest.raises(SystemExit) as ended:
        mutations.main([])
    assert ended.value.code == code
    assert (f"{verdict}: NONE, a guard of this test" in capsys.readouterr().out) == bool(code)


def test_run_without_mutations_is_an_error():
    """A rule without mutations must be rejected, because the run would test nothing."""
    with pytest.raises(SystemExit) as ended:
        mutations.main(["--rule", "no such rule"])
    assert ended.value.code not in (0, None)
