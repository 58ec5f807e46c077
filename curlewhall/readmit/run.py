"""Joins turns to a front: the clock, and the signed turns that any front of the fleet honours (RFC 7519).

A turn says for whom it is and how long its bearer has waited, never when by a clock: clocks are minutes
apart. The front that gave it knows its moment by its own; another takes it once, as due when its bearer
comes.
"""

import secrets
import time

import jwt

from curlewhall.dash.tokens import ALGORITHM, BadToken

from .absent import NoReadmit
from .decide import LONGEST, SECOND, Readmit

AUDIENCE = "curlewhall:turn"
LIFE = 120  # seconds that a turn is good for, by the clock of whoever reads it
APART = 300  # seconds that clocks of fronts may differ


class Doors(NoReadmit):
    """Between the driver and the turns. `key`: the one that fronts share; `most`: the longest Retry-After."""

    def __init__(self, driver, front: str, key: bytes, seed: int) -> None:
        self.driver, self.front, self.key = driver, front, key
        products = driver.card["products"]
        self.readmit = Readmit(
            driver.clock.now(), seed, {p["name"]: p["importance"] for p in products},
            frozenset(p["name"] for p in products if p["idempotency"] != "pure"),
            driver.card["permissions.max_retry_after"])
        self.bad = 0

    def asked(self, held, again: bool, turn: str) -> int | None:
        now, facts = self.driver.clock.now(), held.facts
        waited = self.waited(now, facts.viewer, turn)
        span = self.readmit.asked(now, facts.viewer, facts.product, again, waited)
        return None if span is None else self.readmit.told(span)

    def waited(self, now: int, viewer: str, turn: str) -> int | None:
        """How long the bearer of another front's turn has waited; None where it is no such turn."""
        if not turn or self.readmit.crowd is None:
            return None
        try:
            claims = jwt.decode(turn, self.key, algorithms=[ALGORITHM], audience=AUDIENCE, leeway=APART,
                                options={"require": ["exp", "aud", "sub", "iss", "jti", "wtd"]})
            waited = int(claims["wtd"])
            if claims["sub"] != viewer:
                raise BadToken("a turn of another viewer")
        except (jwt.PyJWTError, TypeError, ValueError, BadToken):
            self.bad += 1  # forged, copied, too old: as good as none
            return None
        if claims["iss"] == self.front:
            return None  # this front knows its own turns by viewer
        until = now + (LIFE + APART) * SECOND
        return min(LONGEST, max(0, waited)) if self.readmit.use(now, str(claims["jti"]), until) else None

    def turned(self, held, away: int) -> int:
        now, facts = self.driver.clock.now(), held.facts
        return self.readmit.told(self.readmit.turned(now, facts.viewer, facts.product, away))

    def token(self, held) -> str:
        """The signed turn of a viewer that has one; "" for others."""
        viewer = held.facts.viewer
        waited = self.readmit.waited(self.driver.clock.now(), viewer)
        if waited is None:
            return ""
        wall = int(time.time())
        return jwt.encode({"sub": viewer, "aud": AUDIENCE, "iss": self.front, "iat": wall, "exp": wall + LIFE,
                           "jti": secrets.token_hex(6), "wtd": waited}, self.key, algorithm=ALGORITHM)

    def placed(self, held) -> None:
        self.readmit.placed(self.driver.clock.now(), held.facts.viewer)

    def lost(self) -> None:
        self.readmit.lost(self.driver.clock.now())

    def expect(self, viewers: int) -> None:
        self.readmit.expect(self.driver.clock.now(), viewers)

    def state(self) -> dict:
        return {"turns": self.readmit.state() | {"bad": self.bad}}
