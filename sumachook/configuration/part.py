"""Partial configuration changes, which add, replace or remove complete items by name."""

from collections.abc import Sequence
from typing import Any

from sumachook.configuration.carried_fields import EXTRA
from sumachook.configuration.document_items import NAMED_LISTS, Document
from sumachook.configuration.issue import ConfigurationIssue


def removal_issues(removals: Any) -> tuple[ConfigurationIssue, ...]:
    """Returns the issues of `removals`, which must map fields to lists of names.

    >>> removal_issues({"services": ["a"]})
    ()
    >>> for issue in removal_issues({"services": "a", "areas": ["b"], "extra": {"c": 1}}): print(*issue, sep=": ")
    removals.services: a list of names is needed
    removals.areas: nothing here has a name
    removals.extra.c: a list of names is needed
    """
    if not isinstance(removals, dict):
        return (ConfigurationIssue("removals", "an object is needed"),)
    issues = []
    for field, names in removals.items():
        if field == EXTRA and isinstance(names, dict):
            issues += [_names_required(f"removals.{EXTRA}.{name}") for name in names if not _are_names(names[name])]
        elif field not in NAMED_LISTS:
            issues.append(ConfigurationIssue(f"removals.{field}", "nothing here has a name"))
        elif not _are_names(names):
            issues.append(_names_required(f"removals.{field}"))
    return tuple(issues)


def _are_names(names: Any) -> bool:
    return isinstance(names, (list, tuple)) and all(isinstance(name, str) for name in names)


def _names_required(path: str) -> ConfigurationIssue:
    return ConfigurationIssue(path, "a list of names is needed")


def replace_named(
    base: Document, part: Document, removals: Document, index_by_name: dict[str, dict[str, int]] | None = None
) -> Document:
    """Applies a partial change: first removals, then items replaced in place or appended, then other fields.

    A list that the change does not mention remains the same object. `index_by_name` optionally gives, by field, the
    index of each name in `base`. Lists of named items in `extra` are changed by name as well, although their contents
    are not interpreted.

    >>> replace_named({"version": 1, "services": [{"name": "a", "coldMs": 9}, {"name": "b"}]},
    ...               {"version": 3, "services": [{"name": "a"}, {"name": "c"}]}, {"services": ["b", "gone"]})
    {'version': 3, 'services': [{'name': 'a'}, {'name': 'c'}]}
    """
    changed = {**base, **part}
    for field in NAMED_LISTS:
        items, removed = part.get(field, ()), set(removals.get(field, ()))
        is_list = isinstance(items, (list, tuple))  # any other value is rejected later by validation
        if is_list and not items and field not in base:
            changed.pop(field, None)  # an empty list does not create the field
        elif is_list and (field in part or removed):
            indices = (index_by_name or {}).get(field)
            changed[field] = _replace_items(base.get(field, ()), items, removed, indices)
    if EXTRA in part or EXTRA in removals:
        changed[EXTRA] = _merge_extra(base.get(EXTRA, {}), part.get(EXTRA, {}), removals.get(EXTRA, {}))
        if not changed[EXTRA] and EXTRA not in base:
            del changed[EXTRA]
    return changed


def _merge_extra(base: Document, part: Any, removals: Document) -> Any:
    """Applies a change to `extra`; only the fields that the change names differ.

    All uninterpreted fields are in this one object, so it is merged by field and never replaced as a whole.
    """
    if not isinstance(part, dict):
        return part  # a value of another type is rejected later by validation
    changed = {**base, **part}
    for field in {**part, **removals}:
        current, items, removed = base.get(field, ()), part.get(field, ()), set(removals.get(field, ()))
        if _is_list_of_named(items) and not items and field not in base:
            changed.pop(field, None)
        elif _is_list_of_named(current) and _is_list_of_named(items):
            changed[field] = _replace_items(current, items, removed, None)
    return changed


def _is_list_of_named(value: Any) -> bool:
    return isinstance(value, (list, tuple)) and all(
        isinstance(item, dict) and isinstance(item.get("name"), str) for item in value
    )


def _replace_items(
    current: Sequence[Document], items: Sequence[Any], removed: set[str], indices: dict[str, int] | None
) -> list[Any]:
    kept: list[Any] = list(current)
    if removed:
        kept = [item for item in current if item["name"] not in removed]
        indices = None
    if indices is None:
        indices = {item["name"]: index for index, item in enumerate(kept)}
    replaced: set[str] = set()  # a second item with the same name is appended, so that validation rejects it
    for item in items:
        name = item.get("name") if isinstance(item, dict) else None
        index = indices.get(name) if isinstance(name, str) and name not in replaced else None
        if index is None or name is None:
            kept.append(item)
        else:
            kept[index] = item
            replaced.add(name)
    return kept
