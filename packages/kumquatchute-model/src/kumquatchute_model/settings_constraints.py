"""The accepted forms of single settings, with units and bounds."""

from dataclasses import dataclass
import re
from typing import Any
from urllib.parse import urlsplit

from kumquatchute_model.address import parse_address

MAX_TEXT_CHARS = 200
# Names become parts of object names on the platform, which follow RFC 1123.
DNS_LABEL = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
SHA256 = re.compile(r"[0-9a-f]{64}")


@dataclass(frozen=True)
class NumberRange:
    """A number with a unit, within bounds that are both accepted."""

    unit: str
    minimum: float
    maximum: float


@dataclass(frozen=True)
class DnsLabel:
    """A name that the platform accepts in object names."""


@dataclass(frozen=True)
class Text:
    """A short text without blanks."""


@dataclass(frozen=True)
class FilePath:
    """Path of a file."""


@dataclass(frozen=True)
class SocketAddress:
    """An IP address and a port."""


@dataclass(frozen=True)
class HttpUrl:
    """Base URL of an HTTP service."""


@dataclass(frozen=True)
class Sha256:
    """A SHA-256 digest."""


Constraint = (
    NumberRange | DnsLabel | Text | FilePath | SocketAddress | HttpUrl | Sha256
)


def describe(constraint: Constraint) -> str:
    """Return the accepted form as part of a sentence."""
    match constraint:
        case NumberRange(unit=unit, minimum=minimum, maximum=maximum):
            return f"a number of {unit} from {minimum:,g} to {maximum:,g}"
        case DnsLabel():
            return "1 to 63 lower-case letters, digits and inner hyphens"
        case Text():
            return f"a text of 1 to {MAX_TEXT_CHARS} characters, no blanks"
        case FilePath():
            return "the path of a file"
        case SocketAddress():
            return "IP address and port, such as 127.0.0.1:9000"
        case HttpUrl():
            return "an http or https URL without credentials"
        case Sha256():
            return "a SHA-256 digest of 64 lower-case hexadecimal digits"


def accepts(constraint: Constraint, value: Any) -> bool:
    """Return whether a value of the right type has the form.

    :param constraint: form of the setting
    :param value: number for ``NumberRange``, otherwise text
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
