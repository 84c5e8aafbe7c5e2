"""A change of named items against the document in force: what it does not name stays, read or not."""

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
def test_what_is_carried_is_changed_by_name_as_well(part, removals, wanted):
    """Given lists of named items and other values that nobody reads, a change of some of them leaves all the rest as it was."""
    changed = replace_named(BASE, part, removals)
    assert changed == {**BASE, "extra": {**BASE["extra"], **wanted}}


def test_an_empty_list_adds_no_field():
    """Given a change with empty lists of what the document in force does not have, none of them is there afterwards."""
    base = {"version": 3, "services": [{"name": "s"}]}
    assert replace_named(base, {"httpRoutes": [], "extra": {"owners": []}}, {"tenants": []}) == base


def test_removals_that_are_no_names_are_refused():
    """Given removals of what is carried, lists of names pass and anything else is named by its path."""
    assert removal_issues({"extra": {"owners": ["o"], "others": []}}) == ()
    paths = [issue.path for issue in removal_issues({"extra": {"owners": "o", "others": [1]}, "services": ["s"]})]
    assert paths == ["removals.extra.owners", "removals.extra.others"]
    assert [issue.path for issue in removal_issues({"extra": []})] == ["removals.extra"]
