"""Addresses of the nodes and the token for them."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from urllib.parse import urlsplit

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure

TOKEN_VARIABLE = "KUMQUATCHUTE_TOKEN"
NODES_VARIABLE = "KUMQUATCHUTE_NODES"


@dataclass(frozen=True)
class ConnectionOptions:
    """Nodes to call and the bearer token for them.

    :param nodes: base URLs without a trailing slash, in the order of use
    :param token: left out of ``repr``, so that no traceback shows it
    """

    nodes: tuple[str, ...]
    token: str = field(repr=False)


def read_connection_options(
    nodes: tuple[str, ...], token_file: str | None, env: Mapping[str, str]
) -> ConnectionOptions | Failure:
    """Read nodes and token from command-line options or the environment.

    :param nodes: base URLs; if empty, those in the environment are used
    :param token_file: file that holds the token; if None, the token in the
        environment is used
    :returns: the options, or ``MALFORMED`` if the nodes or the token are
        missing or not valid
    """
    urls = nodes or tuple(
        env.get(NODES_VARIABLE, "").replace(",", " ").split()
    )
    if not urls:
        return _usage_error(f"give a node with --node URL or {NODES_VARIABLE}")
    for url in urls:
        if not _is_base_url(url):
            return _usage_error(
                f"{url} is not a valid URL of a node, "
                "expected http://ADDRESS:PORT"
            )
    token = _read_token(token_file, env)
    if isinstance(token, Failure):
        return token
    return ConnectionOptions(tuple(url.rstrip("/") for url in urls), token)


def _read_token(
    token_file: str | None, env: Mapping[str, str]
) -> str | Failure:
    if token_file is not None:
        try:
            token = Path(token_file).read_text(encoding="ascii").strip()
        except (OSError, UnicodeDecodeError):
            return _usage_error(f"token file {token_file} cannot be read")
    else:
        token = env.get(TOKEN_VARIABLE, "").strip()
    if not token:
        return _usage_error(
            f"give a token with --token-file FILE or {TOKEN_VARIABLE}"
        )
    if not token.isprintable() or not token.isascii() or " " in token:
        return _usage_error(
            "the token must consist of printable ASCII characters, no spaces"
        )
    return token


def _is_base_url(url: str) -> bool:
    try:
        parts = urlsplit(url)
        has_host = bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False
    extra = parts.path.strip("/") or parts.query or parts.username
    return parts.scheme in ("http", "https") and has_host and not extra


def _usage_error(reason: str) -> Failure:
    return Failure(ErrorKind.MALFORMED, reason, not_run=True)
