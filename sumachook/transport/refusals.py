"""Responses to requests that an HTTP server refuses by itself; none of them reached the state machine, so none ran."""

import msgspec
from aiohttp.web_response import Response

RETRY_AFTER_PRESSURE_S = 1


def error_body(name: str, reason: str) -> bytes:
    """Returns the JSON body of an error response to a request that never reached the state machine."""
    return msgspec.json.encode({"fault": {"class": name, "reason": reason, "tries": 0, "run": "no"}})


def error_response(status: int, name: str, reason: str, retry_after_s: int | None = None) -> Response:
    """Builds an error response to a request that never reached the state machine; it closes the connection."""
    headers = {"Retry-After": str(retry_after_s)} if retry_after_s else None
    answer = Response(status=status, body=error_body(name, reason), content_type="application/json", headers=headers)
    answer.force_close()
    return answer


def too_large(max_bytes: int) -> Response:
    """Builds the 413 response to a body above the limit."""
    return error_response(413, "too-large", f"at most {max_bytes} bytes")


def header_too_large(max_bytes: float) -> Response:
    """Builds the 431 response to a head above the limit."""
    return error_response(431, "header-too-large", f"at most {max_bytes:.0f} bytes")


def out_of_memory() -> Response:
    """Builds the 503 response to a request whose body this process has no memory for now."""
    return error_response(503, "overload", "no memory for this request now", RETRY_AFTER_PRESSURE_S)


def body_stalled(seconds: float) -> Response:
    """Builds the 408 response to a request whose body did not come in time."""
    return error_response(408, "body-stalled", f"nothing came for {seconds} s")


def body_evicted() -> Response:
    """Builds the 408 response to a request whose body came too slowly while memory was short."""
    return error_response(408, "body-stalled", "it came too slowly while memory was short", RETRY_AFTER_PRESSURE_S)
