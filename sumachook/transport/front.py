"""The door for requests that are forwarded: path, headers and body stay as they came."""

from aiohttp import web

from sumachook.transport.door import Door, _fault

LONGEST_FIELD = 32 << 10


class Front(Door):
    """A Door whose messages are ("request", cid, method, raw path, header pairs, body) (§14.4)."""

    __slots__ = ()
    OPTIONS = {
        "auto_decompress": False,
        "keepalive_timeout": 15.0,
        "max_line_size": LONGEST_FIELD,
        "max_field_size": LONGEST_FIELD,
        "max_headers": 1000,
    }
    MOST_BODY = 8 << 20

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
