"""Authentication of callers."""

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
    """The mysql_native_password method with a constant-time comparison."""

    def verify_scramble(
        self, auth_string: str | None, scramble: bytes, nonce: bytes
    ) -> bool:
        """Check a caller's response to the nonce.

        Args:
            auth_string: Hexadecimal SHA1 of the SHA1 of the password.
            scramble: The caller's response.
            nonce: The nonce sent to the caller.

        Returns:
            True if the response proves knowledge of the password.
        """
        if not auth_string or len(scramble) != sha1().digest_size:
            return False
        stored = bytes.fromhex(auth_string)
        received = utils.xor(scramble, sha1(nonce + stored).digest())
        return hmac.compare_digest(sha1(received).digest(), stored)


class CallerIdentityProvider(IdentityProvider):
    """Looks up the password hashes of callers.

    An unknown user gets a random hash, so that a wrong name and a wrong password
    cannot be told apart.
    """

    def __init__(self, hashes_by_user: Mapping[str, str]) -> None:
        """Use hexadecimal double SHA1 hashes from the credentials file."""
        self._hashes_by_user = hashes_by_user
        self._plugins = [PasswordPlugin()]

    def get_plugins(self) -> list[AuthPlugin]:
        """Return the supported authentication methods.

        Returns:
            Only the native password method.
        """
        return self._plugins

    async def get_user(self, username: str) -> User:
        """Return a user with its password hash.

        Args:
            username: User name as sent by the caller.

        Returns:
            The user; an unknown user has a random hash that no password matches.
        """
        known_hash = self._hashes_by_user.get(username)
        return User(
            username, known_hash or secrets.token_hex(20), NativePasswordAuthPlugin.name
        )
