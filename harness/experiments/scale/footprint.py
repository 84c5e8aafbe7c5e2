"""Estimates the memory that an object holds."""

import gc
import sys
from types import BuiltinFunctionType, CodeType, FunctionType, MethodType, ModuleType

_NOT_STATE = (type, ModuleType, FunctionType, MethodType, BuiltinFunctionType, CodeType)


def footprint(part, seen: set) -> int:
    """Returns the bytes of all objects reachable from `part` whose ids are not in `seen`, and adds their ids to `seen`.

    Objects that are shared by two parts therefore count once.

    >>> footprint([1000, 2000], set()) > footprint([1000], set()) > 0
    True
    """
    total, waiting = 0, [part]
    while waiting:
        item = waiting.pop()
        if id(item) in seen or isinstance(item, _NOT_STATE):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        waiting += gc.get_referents(item)
    return total
