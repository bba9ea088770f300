"""HTTP responses of the platform stand-in."""

from aiohttp import web

from kumquatchute_standins.platform.codec import encode_error
from kumquatchute_standins.platform.messages import StatusError

JSON_CONTENT_TYPE = "application/json"


def error_response(error: StatusError) -> web.Response:
    """Return the response for an error."""
    resp = json_response(error.code, encode_error(error))
    if error.retry_after_s is not None:
        resp.headers["Retry-After"] = str(error.retry_after_s)
    return resp


def json_response(status: int, body: bytes) -> web.Response:
    """Return a response with a JSON document."""
    return web.Response(
        status=status, body=body, content_type=JSON_CONTENT_TYPE
    )
