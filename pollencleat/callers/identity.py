"""Who a caller is."""

import hmac
import secrets
from collections.abc import Mapping
from hashlib import sha1

from mysql_mimic import utils
from mysql_mimic.auth import (
    AuthPlugin,
    IdentityProvider,
    NativePasswordAuthPlugin,
    User,
)


class PasswordPlugin(NativePasswordAuthPlugin):
    """The native password method with a comparison in constant time."""

    def verify_scramble(
        self, auth_string: str | None, scramble: bytes, nonce: bytes
    ) -> bool:
        """Check a caller's answer to the nonce.

        Args:
            auth_string: Hexadecimal SHA1 of the SHA1 of the password.
            scramble: The caller's answer.
            nonce: What the answer was made for.

        Returns:
            True if the caller knows the password.
        """
        if not auth_string or len(scramble) != sha1().digest_size:
            return False
        stored = bytes.fromhex(auth_string)
        received = utils.xor(scramble, sha1(nonce + stored).digest())
        return hmac.compare_digest(sha1(received).digest(), stored)


class CallerIdentityProvider(IdentityProvider):
    """Knows callers by the hashes of the credentials file.

    An unknown user gets a random hash, so that a wrong name and a wrong password
    cannot be told apart.
    """

    def __init__(self, hashes_by_user: Mapping[str, str]) -> None:
        """Use hexadecimal double SHA1 hashes."""
        self._hashes_by_user = hashes_by_user
        self._plugins = [PasswordPlugin()]

    def get_plugins(self) -> list[AuthPlugin]:
        """Return the one supported method.

        Returns:
            The native password method.
        """
        return self._plugins

    async def get_user(self, username: str) -> User:
        """Return a user with its hash.

        Args:
            username: As sent by the caller.

        Returns:
            The user; with a hash that nothing matches if unknown.
        """
        known = self._hashes_by_user.get(username)
        return User(
            username, known or secrets.token_hex(20), NativePasswordAuthPlugin.name
        )
