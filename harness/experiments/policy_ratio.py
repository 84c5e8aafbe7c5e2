"""python -m harness.policy_ratio: compares the run time of compiled policy bytecode with that of an interpreter that walks
the syntax tree, and prints the number of bytecode instructions.
"""

import ast
import timeit
from functools import partial
from operator import add, eq, ge, gt, le, lt, mod, mul, ne, sub, truediv
from statistics import median

from sumachook.policies.policy import compile_policy

OPERATIONS = {
    ast.Add: add,
    ast.Sub: sub,
    ast.Mult: mul,
    ast.Div: truediv,
    ast.Mod: mod,
    ast.Lt: lt,
    ast.LtE: le,
    ast.Gt: gt,
    ast.GtE: ge,
    ast.Eq: eq,
    ast.NotEq: ne,
}
CASES = (
    ("retry", "attempt < 3 and not (line == 'audit' and tokens > 1000)", {"attempt": 1, "line": "shop", "tokens": 9}),
    (
        "evict",
        "memory * 2 if not paired else 0 - demand / (1 + demand)",
        {"memory": 4.0, "paired": True, "demand": 2.0},
    ),
    (
        "place",
        "0.5 if area == 'a' and model in ['m', 'n'] else free / (memory + 1)",
        {"area": "b", "model": "m", "free": 9.0, "memory": 4.0},
    ),
)


def walk(node, names):
    if isinstance(node, ast.Constant):
        return node.value
    if isinstance(node, ast.Name):
        return names[node.id]
    if isinstance(node, ast.BinOp):
        return OPERATIONS[type(node.op)](walk(node.left, names), walk(node.right, names))
    if isinstance(node, ast.UnaryOp):
        value = walk(node.operand, names)
        return not value if isinstance(node.op, ast.Not) else -value
    if isinstance(node, ast.BoolOp):
        value = walk(node.values[0], names)
        for each in node.values[1:]:
            if bool(value) != isinstance(node.op, ast.And):
                return value
            value = walk(each, names)
        return value
    if isinstance(node, ast.IfExp):
        return walk(node.body if walk(node.test, names) else node.orelse, names)
    if isinstance(node.ops[0], ast.In):
        return walk(node.left, names) in [item.value for item in node.comparators[0].elts]
    return OPERATIONS[type(node.ops[0])](walk(node.left, names), walk(node.comparators[0], names))


def main():
    for role, text, names in CASES:
        program, tree = compile_policy(role, text), ast.parse(text, mode="eval").body
        assert program.run(names) == walk(tree, names)
        ratios = []
        for _ in range(9):
            slow = timeit.timeit(partial(walk, tree, names), number=20000)
            ratios.append(slow / timeit.timeit(partial(program.run, names), number=20000))
        print(
            f"{role}: {len(program.codes)} instructions, walking the tree takes {median(ratios):.2f} times as long "
            f"({min(ratios):.2f} to {max(ratios):.2f} over 9 rounds)"
        )


if __name__ == "__main__":
    main()
