"""Socket addresses: an IP address and a port."""

from dataclasses import dataclass
from ipaddress import ip_address
from ipaddress import IPv4Address
from ipaddress import IPv6Address

MAX_PORT = 65_535


@dataclass(frozen=True)
class Address:
    """An IP address and a port; port 0 lets the system choose a free one."""

    ip: IPv4Address | IPv6Address
    port: int

    def overlaps(self, other: "Address") -> bool:
        """Return whether the two addresses cannot be bound together.

        An unspecified IP address overlaps every address with the same port.
        """
        if self.port != other.port or self.port == 0:
            return False
        return (
            self.ip == other.ip
            or self.ip.is_unspecified
            or other.ip.is_unspecified
        )


def parse_address(text: str) -> Address | None:
    """Parse an address such as ``127.0.0.1:9000`` or ``[::1]:9000``.

    :param text: IP address, colon and port; IPv6 addresses in brackets
    :returns: the address, or None if the text is not a valid address
    """
    ip_text, _, port_text = text.rpartition(":")
    is_bracketed = ip_text.startswith("[") and ip_text.endswith("]")
    if not (port_text.isascii() and port_text.isdigit()):
        return None
    try:
        ip = ip_address(ip_text[1:-1] if is_bracketed else ip_text)
    except ValueError:
        return None
    port = int(port_text) if len(port_text) <= len(str(MAX_PORT)) else -1
    if not 0 <= port <= MAX_PORT or is_bracketed != (ip.version == 6):
        return None
    return Address(ip, port)
