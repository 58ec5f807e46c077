"""Session tokens: JWTs (RFC 7519) that a front signs and a node checks. HS256 (RFC 7518 section 3.2)."""

from pathlib import Path
from typing import Any, NamedTuple

import jwt

from curlewhall.errors import CurlewhallError

ALGORITHM = "HS256"
LEEWAY_S = 2  # clocks of maintained machines differ by about as much


class Session(NamedTuple):
    """The claims of a token: a play on a node, by an allocation of a front."""

    play: str
    number: int
    node: str
    front: str
    title: str
    product: str


class TokenError(CurlewhallError):
    """An invalid token; the text gives the reason and doesn't contain the token."""

    remedy = "Give fronts and nodes the same key file, and check the clocks of both machines."


def read_key(path: str) -> bytes:
    """The bytes of the shared key; `OSError`, or `ValueError` if they are fewer than 32."""
    key = Path(path).read_bytes()
    if len(key) < 32:
        raise ValueError(f"the key has {len(key)} bytes, expected at least 32")
    return key


def sign(session: Session, key: bytes, now: float, lifetime_s: float) -> str:
    """A token that is valid for `lifetime_s` from `now` (seconds since 1970)."""
    claims: dict[str, Any] = {
        "sub": session.play,
        "aud": session.node,
        "iss": session.front,
        "iat": int(now),
        "exp": int(now + lifetime_s),
        "num": session.number,
        "ttl": session.title,
        "prd": session.product,
    }
    return jwt.encode(claims, key, algorithm=ALGORITHM)


def check(token: str, key: bytes, node: str) -> Session:
    """The session of a token; `TokenError` if its signature, audience, claims or lifetime are invalid."""
    try:
        claims = jwt.decode(
            token,
            key,
            algorithms=[ALGORITHM],
            audience=node,
            leeway=LEEWAY_S,
            options={"require": ["exp", "aud", "sub", "iss", "num"]},
        )
        return Session(
            str(claims["sub"]),
            int(claims["num"]),
            node,
            str(claims["iss"]),
            str(claims.get("ttl", "")),
            str(claims.get("prd", "")),
        )
    except (jwt.PyJWTError, TypeError, ValueError) as err:
        raise TokenError(f"{type(err).__name__}: {err}") from None
