"""Partial changes by item name leave all other items unchanged, including uninterpreted ones."""

import pytest

from sumachook.configuration.part import removal_issues, replace_named

BASE = {
    "version": 3,
    "services": [{"name": "s"}],
    "extra": {"owners": [{"name": "o", "x": 1}, {"name": "p"}], "note": [1, 2], "flag": False},
}


@pytest.mark.parametrize(
    ("part", "removals", "wanted"),
    [
        ({}, {}, {}),
        ({"extra": {}}, {}, {}),
        ({"extra": {"owners": []}}, {}, {}),
        ({"extra": {"tenants": []}}, {"extra": {"tenants": ["t"]}}, {}),
        ({"extra": {"owners": [{"name": "o"}]}}, {}, {"owners": [{"name": "o"}, {"name": "p"}]}),
        ({}, {"extra": {"owners": ["o", "never"]}}, {"owners": [{"name": "p"}]}),
        (
            {"extra": {"owners": [{"name": "q"}]}},
            {"extra": {"owners": ["p"]}},
            {"owners": [BASE["extra"]["owners"][0], {"name": "q"}]},
        ),
        ({"extra": {"note": [3]}}, {"extra": {"flag": ["x"]}}, {"note": [3]}),
        ({"extra": {"flag": None, "new": 0}}, {}, {"flag": None, "new": 0}),
    ],
)
def test_lists_in_extra_are_changed_by_name(part, removals, wanted):
    """Given lists of named items and other values in `extra`, a change of some of them leaves all others unchanged."""
    changed = replace_named(BASE, part, removals)
    assert changed == {**BASE, "extra": {**BASE["extra"], **wanted}}


def test_an_empty_list_adds_no_field():
    """Given a change with empty lists for fields that the document in force does not have, it does not add these fields."""
    base = {"version": 3, "services": [{"name": "s"}]}
    assert replace_named(base, {"httpRoutes": [], "extra": {"owners": []}}, {"tenants": []}) == base


def test_removals_other_than_lists_of_names_are_refused():
    """Given removals in `extra`, lists of names are accepted and any other value is refused with its path."""
    assert removal_issues({"extra": {"owners": ["o"], "others": []}}) == ()
    paths = [issue.path for issue in removal_issues({"extra": {"owners": "o", "others": [1]}, "services": ["s"]})]
    assert paths == ["removals.extra.owners", "removals.extra.others"]
    assert [issue.path for issue in removal_issues({"extra": []})] == ["removals.extra"]
