"""What a node tells of memory pressure: a log line at most once a second, and figures for its metrics."""

import pytest

from sumachook.memory.account import Purpose
from sumachook.memory.budget import MEBIBYTE, MemoryBudget
from sumachook.nodes.memory_reporter import MemoryReporter


@pytest.fixture
def told():
    return []


@pytest.fixture
def lines():
    return []


@pytest.fixture
def budget():
    return MemoryBudget(10 * MEBIBYTE)


@pytest.fixture
def reporter(budget, told, lines):
    return MemoryReporter(budget, told.append, lambda *line: lines.append(line))


def test_nothing_is_told_in_calm(budget, reporter, told, lines):
    """Given little memory held and nobody evicted, no line is logged and no figures are delivered."""
    budget.open("holder").hold(MEBIBYTE // 2, Purpose.SMALL)
    reporter.report(100.0)
    assert told == lines == []


def test_growth_of_the_peak_brings_new_figures_without_a_line(budget, reporter, told, lines):
    """Given a peak that grew by a mebibyte, the figures are delivered, once."""
    budget.open("holder").hold(2 * MEBIBYTE, Purpose.BODY)
    reporter.report(100.0)
    reporter.report(105.0)
    (event,) = told
    assert event.figures["peakBytes"] == 2 * MEBIBYTE and event.figures["heldByPurpose"]["body"] == 2 * MEBIBYTE
    assert lines == []


def test_evictions_and_refusals_are_logged_at_most_once_a_second(budget, reporter, told, lines):
    """Given evictions and refusals in one second, one line counts them; those after it are in the next line."""
    budget.note_eviction("client connection")
    budget.note_refusal(Purpose.BODY)
    reporter.report(100.0)
    budget.note_eviction("client connection")
    reporter.report(100.5)
    assert len(lines) == 1
    reporter.report(101.0)
    (first, second) = lines
    assert first[:2] == second[:2] == ("warning", "memory")
    assert (first[3]["evicted"], first[3]["refused"]) == (1, 1) and (second[3]["evicted"], second[3]["refused"]) == (
        1,
        0,
    )
    assert told[-1].figures["evictions"] == {"client connection": 2} and told[-1].figures["refusals"] == {"body": 1}
