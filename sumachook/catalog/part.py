"""A part of a configuration whose items are whole: each adds, replaces or removes by name."""

NAMED = ("models", "lines", "callers", "adapters", "routes", "services", "httpRoutes", "tenants")


def removal_faults(removals) -> tuple:
    """What keeps `removals` from being lists of names by part.

    >>> removal_faults({"services": ["a"]}), removal_faults({"services": "a", "areas": ["b"]})
    ((), (('removals.services', 'a list of names is needed'), ('removals.areas', 'nothing here has a name')))
    """
    if not isinstance(removals, dict):
        return (("removals", "an object is needed"),)
    found = []
    for field, names in removals.items():
        if field not in NAMED:
            found.append((f"removals.{field}", "nothing here has a name"))
        elif not isinstance(names, (list, tuple)) or not all(isinstance(name, str) for name in names):
            found.append((f"removals.{field}", "a list of names is needed"))
    return tuple(found)


def replace_named(whole: dict, part: dict, removals: dict) -> dict:
    """Removals go first; what is replaced keeps its place; any other field is replaced whole (§14.2).

    >>> replace_named({"version": 1, "services": [{"name": "a", "coldMs": 9}, {"name": "b"}]},
    ...               {"version": 3, "services": [{"name": "a"}, {"name": "c"}]}, {"services": ["b", "gone"]})
    {'version': 3, 'services': [{'name': 'a'}, {'name': 'c'}]}
    """
    changed = {**whole, **part}
    for field in NAMED:
        items = part.get(field, ())
        is_named = isinstance(items, (list, tuple))  # what is no list is for the check to refuse
        if is_named and (field in whole or field in part):
            changed[field] = _replace(whole.get(field, ()), items, set(removals.get(field, ())))
    return changed


def _replace(standing, items, removed):
    kept = [item for item in standing if item["name"] not in removed]
    places = {item["name"]: place for place, item in enumerate(kept)}
    for item in items:
        name = item.get("name") if isinstance(item, dict) else None
        place = (
            places.pop(name, None) if isinstance(name, str) else None
        )  # a second of one name stays, for the check to refuse
        if place is None:
            kept.append(item)
        else:
            kept[place] = item
    return kept
