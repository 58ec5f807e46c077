"""Session tokens: JWTs (RFC 7519) that a front signs and a node checks. HS256 (RFC 7518 section 3.2)."""

from pathlib import Path
from typing import Any, NamedTuple

import jwt

from curlewhall.errors import CurlewhallError

ALGORITHM = "HS256"
LEEWAY = 2  # seconds: about what clocks of kept machines differ


class Session(NamedTuple):
    """What a token says: this play, on this node, as this front's allocation."""

    play: str
    number: int
    node: str
    front: str
    title: str
    product: str


class TokenError(CurlewhallError):
    """A token that is not taken; the text says why, without the token."""

    remedy = "Give fronts and nodes the same key file, and look at the clocks of both machines."


def read_key(path: str) -> bytes:
    """The shared key's bytes; `OSError`, or `ValueError` where they are fewer than 32."""
    key = Path(path).read_bytes()
    if len(key) < 32:
        raise ValueError(f"the key has {len(key)} bytes, 32 at least are needed")
    return key


def sign(session: Session, key: bytes, now: float, life: float) -> str:
    """A token good for `life` seconds from `now` (seconds since 1970)."""
    claims: dict[str, Any] = {
        "sub": session.play,
        "aud": session.node,
        "iss": session.front,
        "iat": int(now),
        "exp": int(now + life),
        "num": session.number,
        "ttl": session.title,
        "prd": session.product,
    }
    return jwt.encode(claims, key, algorithm=ALGORITHM)


def check(token: str, key: bytes, node: str) -> Session:
    """The session of a token made for `node` that is signed, whole and in time; else `TokenError`."""
    try:
        claims = jwt.decode(
            token,
            key,
            algorithms=[ALGORITHM],
            audience=node,
            leeway=LEEWAY,
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
