"""Validates documents against msgspec structs and reports every issue with its path, not only the first."""

import types
import typing
from typing import Any, TypeVar

import msgspec

from sumachook.configuration.issue import ConfigurationIssue

StructType = TypeVar("StructType", bound=msgspec.Struct)
Issues = tuple[ConfigurationIssue, ...]


def check(document: Any, shape: type[StructType], path: str = "") -> tuple[StructType | None, Issues]:
    """Converts a document to a struct and collects every validation issue.

    Parameters
    ----------
    document : the decoded JSON or TOML value
    shape : the struct class
    path : the location of the document, used as a prefix of the paths of issues

    Returns
    -------
    (struct, ()) or (None, issues)

    >>> class Hall(msgspec.Struct, rename="camel", forbid_unknown_fields=True):
    ...     name: str
    ...     places: int = 1
    >>> check({"name": "a", "places": 2}, Hall)
    (Hall(name='a', places=2), ())
    >>> for issue in check({"places": "2", "colour": 1}, Hall, "halls[0]")[1]: print(*issue, sep=": ")
    halls[0].colour: unknown field
    halls[0].name: missing
    halls[0].places: Expected `int`, got `str`
    """
    issues: list[ConfigurationIssue] = []
    value = _read(document, shape, path, issues)
    return (None, tuple(issues)) if issues else (value, ())


def _read(document: Any, shape: Any, path: str, issues: list[ConfigurationIssue]) -> Any:
    origin, arguments = typing.get_origin(shape), typing.get_args(shape)
    if origin in (types.UnionType, typing.Union) and type(None) in arguments:
        if document is None:
            return None
        rest = [argument for argument in arguments if argument is not type(None)]
        return _read(document, rest[0], path, issues)
    if isinstance(shape, type) and issubclass(shape, msgspec.Struct):
        return _read_struct(document, shape, path, issues)
    if origin is tuple and isinstance(document, (list, tuple)):
        return tuple(_read(item, arguments[0], f"{path}[{index}]", issues) for index, item in enumerate(document))
    try:
        return msgspec.convert(document, shape)
    except msgspec.ValidationError as error:
        issues.append(ConfigurationIssue(path or "$", str(error)))
        return None


def _read_struct(document: Any, shape: type[msgspec.Struct], path: str, issues: list[ConfigurationIssue]) -> Any:
    try:
        return msgspec.convert(document, shape)  # fast path in C; only a rejected document is traversed for issues
    except msgspec.ValidationError:
        pass
    if not isinstance(document, dict):
        issues.append(ConfigurationIssue(path or "$", f"Expected `object`, got `{type(document).__name__}`"))
        return None
    fields = {field.encode_name: field for field in msgspec.structs.fields(shape)}
    prefix = path + "." if path else ""
    values: dict[str, Any] = {}
    issues_before = len(issues)
    if shape.__struct_config__.forbid_unknown_fields:
        unknown = sorted(set(document) - set(fields), key=str)
        issues += [ConfigurationIssue(prefix + str(name), "unknown field") for name in unknown]
    for name, field in fields.items():
        if name in document:
            values[field.name] = _read(document[name], field.type, prefix + name, issues)
        elif field.required:
            issues.append(ConfigurationIssue(prefix + name, "missing"))
    return shape(**values) if len(issues) == issues_before else None
