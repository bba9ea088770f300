"""Constraints on single settings, with units and limits."""

from dataclasses import dataclass
import re
from typing import Any
from urllib.parse import urlsplit

from kumquatchute_model.address import parse_address

MAX_TEXT_CHARS = 200
# Names become parts of object names on the platform, which are labels as
# defined in RFC 1123.
DNS_LABEL = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
SHA256 = re.compile(r"[0-9a-f]{64}")


@dataclass(frozen=True)
class NumberRange:
    """A number with a unit; both limits are accepted values."""

    unit: str
    minimum: float
    maximum: float


@dataclass(frozen=True)
class DnsLabel:
    """A label as in RFC 1123, as the platform needs in object names."""


@dataclass(frozen=True)
class Text:
    """A short printable text without spaces."""


@dataclass(frozen=True)
class FilePath:
    """The path of a file, which need not exist."""


@dataclass(frozen=True)
class SocketAddress:
    """An IP address and a port."""


@dataclass(frozen=True)
class HttpUrl:
    """The base URL of an HTTP service, without credentials."""


@dataclass(frozen=True)
class Sha256:
    """A SHA-256 digest in lower-case hexadecimal."""


Constraint = (
    NumberRange | DnsLabel | Text | FilePath | SocketAddress | HttpUrl | Sha256
)


def describe(constraint: Constraint) -> str:
    """Return a description of the accepted values, as part of a sentence."""
    match constraint:
        case NumberRange(unit=unit, minimum=minimum, maximum=maximum):
            return f"a number of {unit} from {minimum:,g} to {maximum:,g}"
        case DnsLabel():
            return "1 to 63 lower-case letters, digits and inner hyphens"
        case Text():
            return f"a text of 1 to {MAX_TEXT_CHARS} characters without spaces"
        case FilePath():
            return "the path of a file"
        case SocketAddress():
            return "an IP address and port, such as 127.0.0.1:9000"
        case HttpUrl():
            return "an http or https URL without credentials"
        case Sha256():
            return "a SHA-256 digest of 64 lower-case hexadecimal digits"


def accepts(constraint: Constraint, value: Any) -> bool:
    """Return whether a value satisfies a constraint.

    :param value: a number for ``NumberRange``, otherwise a text
    """
    match constraint:
        case NumberRange(minimum=minimum, maximum=maximum):
            return minimum <= value <= maximum
        case DnsLabel():
            return DNS_LABEL.fullmatch(value) is not None
        case Text():
            return (
                0 < len(value) <= MAX_TEXT_CHARS
                and value.isprintable()
                and " " not in value
            )
        case FilePath():
            return bool(value) and value.isprintable()
        case SocketAddress():
            return parse_address(value) is not None
        case HttpUrl():
            return _is_http_url(value)
        case Sha256():
            return SHA256.fullmatch(value) is not None


def _is_http_url(value: str) -> bool:
    try:
        url = urlsplit(value)
        port = url.port
    except ValueError:
        return False
    return (
        url.scheme in ("http", "https")
        and bool(url.hostname)
        and port != 0
        and "@" not in url.netloc
        and value.isprintable()
    )
