"""The policy language: a type-checking compiler from text to bytecode, and the interpreter that runs it."""

import ast
from collections.abc import Callable, Mapping
from enum import IntEnum, StrEnum
from operator import add, eq, ge, gt, le, lt, mod, mul, ne, sub, truediv
from typing import Any, NamedTuple, NoReturn

from cachetools import LRUCache, cached

from sumachook.policies.errors import EvaluationError, InvalidPolicyError, PolicyError, StepLimitError

STEP_LIMIT = 200
MAX_CHARACTERS = 2000
CACHED_PROGRAMS = 256

Value = float | str | bool


class ValueType(StrEnum):
    """The value types of the policy language."""

    TEXT = "text"
    NUMBER = "number"
    TRUTH = "truth"


class Role(NamedTuple):
    """A kind of policy: the names that it may use, the type of its result, and the default result if it fails."""

    names: Mapping[str, ValueType]
    result_type: ValueType
    default: Value


TEXT, NUMBER, TRUTH = ValueType.TEXT, ValueType.NUMBER, ValueType.TRUTH
ROLES = {
    "place": Role(
        {
            "area": TEXT,
            "server": TEXT,
            "model": TEXT,
            "memory": NUMBER,
            "free": NUMBER,
            "demand": NUMBER,
            "held": TRUTH,
            "places": NUMBER,
        },
        NUMBER,
        0.0,
    ),
    "hold": Role(
        {
            "line": TEXT,
            "caller": TEXT,
            "model": TEXT,
            "patience": NUMBER,
            "waiting": NUMBER,
            "bound": NUMBER,
            "busy": NUMBER,
        },
        TRUTH,
        True,
    ),
    "retry": Role(
        {
            "fault": TEXT,
            "attempt": NUMBER,
            "line": TEXT,
            "caller": TEXT,
            "model": TEXT,
            "left": NUMBER,
            "tokens": NUMBER,
            "credit": NUMBER,
        },
        TRUTH,
        True,
    ),
    "evict": Role({"model": TEXT, "server": TEXT, "demand": NUMBER, "memory": NUMBER, "paired": TRUTH}, NUMBER, 0.0),
}


class Code(IntEnum):
    """The opcodes of the bytecode; each instruction has one operand or None."""

    PUSH = 0
    NAME = 1
    BINARY = 2
    COMPARE = 3
    NOT = 4
    NEGATE = 5
    JUMP_FALSE = 6
    JUMP_TRUE = 7
    JUMP = 8
    POP = 9
    CALL = 10
    AMONG = 11


class Instruction(NamedTuple):
    """An opcode and its operand; the interpreter counts each one executed as a step."""

    code: Code
    operand: Any = None


_BINARY_OPERATORS: dict[type[ast.operator], Callable[[Any, Any], Any]] = {
    ast.Add: add,
    ast.Sub: sub,
    ast.Mult: mul,
    ast.Div: truediv,
    ast.Mod: mod,
}
_COMPARISONS: dict[type[ast.cmpop], Callable[[Any, Any], Any]] = {
    ast.Lt: lt,
    ast.LtE: le,
    ast.Gt: gt,
    ast.GtE: ge,
    ast.Eq: eq,
    ast.NotEq: ne,
}
_FUNCTIONS: dict[str, tuple[Callable[..., Any], int]] = {"min": (min, 2), "max": (max, 2), "abs": (abs, 1)}


class Program:
    """A compiled policy; the step limit bounds the time of `run` (docs/design/policies.md).

    >>> program = compile_policy("retry", "attempt < 3 and fault != 'overload'")
    >>> program.run({"attempt": 1, "fault": "reset"}), program.run({"attempt": 3, "fault": "reset"})
    (True, False)
    >>> compile_policy("hold", "waiting / bound < 1").run({"waiting": 1, "bound": 0})
    Traceback (most recent call last):
    sumachook.policies.errors.EvaluationError: ZeroDivisionError
    """

    __slots__ = ("role", "text", "codes")

    def __init__(self, role: str, text: str, codes: tuple[Instruction, ...]) -> None:
        self.role = role
        self.text = text
        self.codes = codes

    def run(self, names: Mapping[str, Any]) -> Any:
        """Evaluates the policy; raises `StepLimitError` or `EvaluationError`."""
        try:
            return self._run(names)
        except (ArithmeticError, KeyError, TypeError) as error:
            raise EvaluationError(type(error).__name__) from error

    def _run(self, names: Mapping[str, Any]) -> Any:
        stack: list[Any] = []
        position = steps = 0
        codes = self.codes
        while position < len(codes):
            steps += 1
            if steps > STEP_LIMIT:
                raise StepLimitError(f"{steps} steps, at most {STEP_LIMIT}")
            code, operand = codes[position]
            position += 1
            if code is Code.PUSH:
                stack.append(operand)
            elif code is Code.NAME:
                stack.append(names[operand])
            elif code is Code.JUMP:
                position = operand
            elif code is Code.JUMP_FALSE:
                position = operand if not stack[-1] else position
            elif code is Code.JUMP_TRUE:
                position = operand if stack[-1] else position
            else:
                _execute(code, operand, stack)
        return stack[-1]

    def __call__(self, names: Mapping[str, Any]) -> Any:
        """Evaluates the policy; returns the safe default of its role if the evaluation fails."""
        try:
            return self.run(names)
        except PolicyError:
            return ROLES[self.role].default


def _execute(code: Code, operand: Any, stack: list[Any]) -> None:
    """Executes an instruction other than a jump or a push on the values on top of the stack."""
    if code is Code.BINARY or code is Code.COMPARE:
        right = stack.pop()
        stack[-1] = operand(stack[-1], right)
    elif code is Code.POP:
        stack.pop()
    elif code is Code.NOT:
        stack[-1] = not stack[-1]
    elif code is Code.NEGATE:
        stack[-1] = -stack[-1]
    elif code is Code.AMONG:
        stack[-1] = stack[-1] in operand
    else:
        function, argument_count = operand
        stack[-argument_count:] = [function(*stack[-argument_count:])]


@cached(LRUCache(CACHED_PROGRAMS))
def compile_policy(role: str, text: str) -> Program:
    """Compiles a policy; raises `InvalidPolicyError` with line and column. An empty text yields the role's default.

    >>> compile_policy("hold", "patience < < 3")
    Traceback (most recent call last):
    sumachook.policies.errors.InvalidPolicyError: line 1, column 12: invalid syntax
    >>> compile_policy("hold", "patience < 'x'")
    Traceback (most recent call last):
    sumachook.policies.errors.InvalidPolicyError: line 1, column 1: number and text cannot be compared
    >>> compile_policy("hold", "exit()")
    Traceback (most recent call last):
    sumachook.policies.errors.InvalidPolicyError: line 1, column 1: only min, max and abs can be called
    """
    if not text.strip():
        return Program(role, text, (Instruction(Code.PUSH, ROLES[role].default),))
    if len(text) > MAX_CHARACTERS:
        raise InvalidPolicyError(f"line 1, column 1: {len(text)} characters, at most {MAX_CHARACTERS}")
    try:
        tree = ast.parse(f"(\n{text}\n)", mode="eval").body  # parentheses allow an expression to span several lines
        return Program(role, text, Compiler(role).compile(tree))
    except SyntaxError as error:
        line, column = max(1, (error.lineno or 2) - 1), max(1, error.offset or 1)
        raise InvalidPolicyError(f"line {line}, column {column}: {error.msg}") from error
    except (ValueError, RecursionError, MemoryError) as error:
        raise InvalidPolicyError(f"line 1, column 1: {error}") from error


def _reject(node: ast.expr, reason: str) -> NoReturn:
    raise InvalidPolicyError(f"line {node.lineno - 1}, column {node.col_offset + 1}: {reason}")


class Compiler:
    """Compiles the syntax tree of one policy to bytecode and checks its types."""

    __slots__ = ("role", "names", "codes")

    def __init__(self, role: str) -> None:
        self.role = role
        self.names = ROLES[role].names
        self.codes: list[Instruction] = []

    def compile(self, tree: ast.expr) -> tuple[Instruction, ...]:
        """Returns the instructions of a policy; raises `InvalidPolicyError`."""
        actual, expected = self._emit(tree), ROLES[self.role].result_type
        if actual != expected:
            _reject(tree, f"gives {actual}, a {self.role} policy gives {expected}")
        if len(self.codes) > STEP_LIMIT:
            _reject(tree, f"{len(self.codes)} steps, at most {STEP_LIMIT}")
        return tuple(self.codes)

    def _emit(self, node: ast.expr) -> ValueType:
        """Appends the instructions of a syntax node and returns the type of its value."""
        match node:
            case ast.Constant():
                return self._emit_constant(node)
            case ast.Name():
                return self._emit_name(node)
            case ast.BinOp() if type(node.op) in _BINARY_OPERATORS:
                self._require_type(node.left, NUMBER)
                self._require_type(node.right, NUMBER)
                self.codes.append(Instruction(Code.BINARY, _BINARY_OPERATORS[type(node.op)]))
                return NUMBER
            case ast.UnaryOp() if isinstance(node.op, ast.USub | ast.Not):
                return self._emit_unary(node)
            case ast.BoolOp():
                return self._emit_bool_op(node)
            case ast.IfExp():
                return self._emit_if(node)
            case ast.Compare() if len(node.ops) == 1:
                return self._emit_compare(node)
            case ast.Call():
                return self._emit_call(node)
        _reject(node, f"{type(node).__name__} is not part of the language")

    def _require_type(self, node: ast.expr, expected: ValueType) -> None:
        actual = self._emit(node)
        if actual != expected:
            _reject(node, f"gives {actual}, needs {expected}")

    def _emit_constant(self, node: ast.Constant) -> ValueType:
        self.codes.append(Instruction(Code.PUSH, node.value))
        if isinstance(node.value, bool):
            return TRUTH
        if isinstance(node.value, int | float):
            return NUMBER
        if isinstance(node.value, str):
            return TEXT
        _reject(node, "constants are numbers, texts, True or False")

    def _emit_name(self, node: ast.Name) -> ValueType:
        if node.id not in self.names:
            _reject(node, f"no name {node.id!r}; there are {', '.join(sorted(self.names))}")
        self.codes.append(Instruction(Code.NAME, node.id))
        return self.names[node.id]

    def _emit_unary(self, node: ast.UnaryOp) -> ValueType:
        is_not = isinstance(node.op, ast.Not)
        operand_type = TRUTH if is_not else NUMBER
        self._require_type(node.operand, operand_type)
        self.codes.append(Instruction(Code.NOT if is_not else Code.NEGATE))
        return operand_type

    def _emit_bool_op(self, node: ast.BoolOp) -> ValueType:
        jump = Code.JUMP_FALSE if isinstance(node.op, ast.And) else Code.JUMP_TRUE
        jumps = []
        for index, value in enumerate(node.values):
            self._require_type(value, TRUTH)
            if index < len(node.values) - 1:
                jumps.append(self._emit_pending_jump())
                self.codes.append(Instruction(Code.POP))
        for position in jumps:
            self.codes[position] = Instruction(jump, len(self.codes))
        return TRUTH

    def _emit_if(self, node: ast.IfExp) -> ValueType:
        self._require_type(node.test, TRUTH)
        to_else = self._emit_pending_jump()
        self.codes.append(Instruction(Code.POP))
        body_type = self._emit(node.body)
        to_end = self._emit_pending_jump()
        self.codes[to_else] = Instruction(Code.JUMP_FALSE, len(self.codes))
        self.codes.append(Instruction(Code.POP))
        self._require_type(node.orelse, body_type)
        self.codes[to_end] = Instruction(Code.JUMP, len(self.codes))
        return body_type

    def _emit_pending_jump(self) -> int:
        """Appends a jump whose target is not known yet, and returns its position."""
        self.codes.append(Instruction(Code.JUMP))
        return len(self.codes) - 1

    def _emit_compare(self, node: ast.Compare) -> ValueType:
        operation, right = node.ops[0], node.comparators[0]
        left_type = self._emit(node.left)
        if isinstance(operation, ast.In | ast.NotIn):
            return self._emit_membership(operation, right)
        if type(operation) not in _COMPARISONS:
            _reject(node, "this comparison is not part of the language")
        right_type = self._emit(right)
        if left_type != right_type:
            _reject(node, f"{left_type} and {right_type} cannot be compared")
        self.codes.append(Instruction(Code.COMPARE, _COMPARISONS[type(operation)]))
        return TRUTH

    def _emit_membership(self, operation: ast.In | ast.NotIn, values: ast.expr) -> ValueType:
        if not isinstance(values, ast.Tuple | ast.List):
            _reject(values, "in needs a list of constants")
        constants = [item.value for item in values.elts if isinstance(item, ast.Constant)]
        if len(constants) < len(values.elts):
            _reject(values, "in needs a list of constants")
        self.codes.append(Instruction(Code.AMONG, frozenset(constants)))
        if isinstance(operation, ast.NotIn):
            self.codes.append(Instruction(Code.NOT))
        return TRUTH

    def _emit_call(self, node: ast.Call) -> ValueType:
        if not isinstance(node.func, ast.Name) or node.func.id not in _FUNCTIONS or node.keywords:
            _reject(node, "only min, max and abs can be called")
        function, argument_count = _FUNCTIONS[node.func.id]
        if len(node.args) != argument_count:
            _reject(node, f"{node.func.id} takes {argument_count}")
        for argument in node.args:
            self._require_type(argument, NUMBER)
        self.codes.append(Instruction(Code.CALL, (function, argument_count)))
        return NUMBER
