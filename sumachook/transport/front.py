"""The door for requests that are forwarded: path, headers and body stay as they came."""

from aiohttp import web

from sumachook.transport.connection_limits import ConnectionLimits
from sumachook.transport.door import Door, _fault

LONGEST_FIELD = 1 << 20  # of the parser; the limits of the configuration are below it
NEVER = 1e6  # seconds: the sweep closes what rests, by limits that may change meanwhile


class Front(Door):
    """A Door whose messages are ("request", cid, method, raw path, header pairs, body) (§14.4)."""

    __slots__ = ()
    OPTIONS = {
        "auto_decompress": False,
        "keepalive_timeout": NEVER,
        "max_line_size": LONGEST_FIELD,
        "max_field_size": LONGEST_FIELD,
        "max_headers": 1000,
    }
    LIMITS = ConnectionLimits(header_bytes=32 << 10, body_bytes=8 << 20)  # until the configuration is known

    def obey(self, limits):
        """The configuration's limits of clients (`atlas/limits.py`) are in force from now on."""
        self.limits = ConnectionLimits(
            limits.header_bytes, limits.body_bytes, limits.header_ms / 1000, limits.idle_ms / 1000
        )

    async def _serve(self, request):
        if (
            "#" in request.raw_path or request.raw_path.find("?") == len(request.raw_path) - 1
        ):  # would leave this node in another form
            answer = web.Response(
                status=400,
                body=_fault("malformed", "a target that cannot be passed unchanged"),
                content_type="application/json",
            )
            answer.force_close()
            return answer
        return await super()._serve(request)

    def _message(self, request, body):
        cid = ("front", self.number)
        return cid, ("request", cid, request.method, request.raw_path, tuple(request.headers.items()), body)
