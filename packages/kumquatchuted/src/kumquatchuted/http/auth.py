"""Authentication and authorisation by bearer token."""

from dataclasses import dataclass
import hashlib
import hmac

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.settings import Role
from kumquatchute_model.settings import TokenSettings

BEARER_SCHEME = "bearer"
ANY_ROLE = frozenset(Role)
CALLER_ROLES = frozenset({Role.INTERACTIVE, Role.BATCH})
OPERATOR_ROLES = frozenset({Role.OPERATOR})


@dataclass(frozen=True)
class Identity:
    """Name and role of the owner of a token."""

    name: str
    role: Role


class Authenticator:
    """Finds the identity that an ``Authorization`` header belongs to."""

    def __init__(self, tokens: tuple[TokenSettings, ...]) -> None:
        """Create an authenticator for the token digests in the settings.

        Settings hold SHA-256 digests; the tokens themselves are never stored.
        """
        self._identities = tuple(
            (bytes.fromhex(token.sha256), Identity(token.identity, token.role))
            for token in tokens
        )

    def authorize(
        self, header: str | None, roles: frozenset[Role]
    ) -> Identity | Failure:
        """Return the sender of a request, or why the request is refused.

        :param header: value of the ``Authorization`` header
        :param roles: roles that may send the request
        """
        identity = self._identify(header or "")
        if identity is None:
            return Failure(
                ErrorKind.UNAUTHENTICATED,
                "the request needs a known bearer token",
                not_run=True,
            )
        if identity.role not in roles:
            return Failure(
                ErrorKind.FORBIDDEN,
                f"the role {identity.role.value} does not allow this request",
                not_run=True,
            )
        return identity

    def _identify(self, header: str) -> Identity | None:
        scheme, _, token = header.partition(" ")
        if scheme.lower() != BEARER_SCHEME:
            return None
        digest = hashlib.sha256(token.strip().encode()).digest()
        found = None
        # Every digest is compared, so that the response time does not reveal
        # which of them is the closest.
        for known_digest, identity in self._identities:
            if hmac.compare_digest(known_digest, digest):
                found = identity
        return found
