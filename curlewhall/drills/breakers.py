"""Classes that break one rule each on purpose, so that it can be seen that the judge catches it; and watches
over sites that a drill's claims, or the judge, must catch.
"""

import time

from curlewhall.policy import PASS, TICKS_PER_SECOND, Front
from curlewhall.sites.decide import SiteDetector
from curlewhall.sites.state import LOST


class Stalls(Front):
    """Rule 1: stands still past the time limits of what it holds, at its tenth play."""

    def asked(self, now, play, *facts, **named):
        said = super().asked(now, play, *facts, **named)
        if self.requests.totals[-1] == 10:
            time.sleep(4.5)  # a computation that never ends would look like this from outside
        return said


class Twice(Front):
    """Rule 2: has two allocations out for every third play."""

    def asked(self, now, play, *facts, **named):
        said = list(super().asked(now, play, *facts, **named))
        sent = [answer for answer in said if answer[0] == "allocate"]
        others = [node for node in self.nodes if sent and node != sent[0][2]]
        if others and self.random_below(3) == 0:
            said.append(("allocate", play, others[self.random_below(len(others))], sent[0][3]))
            self.plays[play].allocations.append(self.plays[play].allocations[0])
        return said


class Deaf(Front):
    """Rule 3: takes every node for serving, and likes those best that the list says drain."""

    leaving = frozenset()

    def choosing_node(self, now, play):
        play.candidates = [node for node in play.candidates if node.id in self.leaving] or play.candidates
        return super().choosing_node(now, play)

    def listed(self, now, how, rows):
        rows = list(rows)
        self.leaving = (self.leaving | {row.node for row in rows if row.state == "draining"}) - {
            row.node for row in rows if row.state != "draining"
        }
        return super().listed(now, how, [row._replace(state="serving") for row in rows])


class Rush(Front):
    """Rule 4: gathers plays while a node has started lately, then sends them all to it at once."""

    def __init__(self, now, seed, start_settings):
        super().__init__(now, seed, start_settings)
        self.gathered, self.young = [], None
        self.chain = [(self.gathering, None), *self.chain[:3], *self.chain[8:]]

    def listed(self, now, how, rows):
        rows = list(rows)
        for row in rows:
            if row.started > 0 and row.state == "serving" and self.young is None:
                self.young = row.node
                self.answers.append(("wake", TICKS_PER_SECOND * 12 // 5, -5))
        return super().listed(now, how, rows)

    def gathering(self, now, play):
        if self.young is None or play.allocations:
            return PASS
        self.gathered.append(play)
        return "keep"

    def choosing_node(self, now, play):
        play.candidates = [self.nodes[self.young]] if self.young else play.candidates[:1]
        return PASS

    def wake(self, now, label):
        if label == -5:
            gathered, self.gathered, young = self.gathered, [], self.young
            for play in [p for p in gathered if not p.answered]:
                for ahead in (self.choosing_node, self.choosing_rung, self.allocating):
                    ahead(now, play)
            self.young = None if young is not None else self.young
            return self.take_answers()
        return super().wake(now, label)


class Under(Front):
    """Rule 5: every play on the lowest rung, whatever its product's floor."""

    def asked(self, now, play, *facts, **named):
        return [
            ("rung", answer[1], 0) if answer[0] == "rung" else answer
            for answer in super().asked(now, play, *facts, **named)
        ]


class Spender(Front):
    """Rule 6: withdraws each first allocation of a harmless play and sends another."""

    def rationed(self, now, play):
        return PASS

    def asked(self, now, play, *facts, **named):
        said = list(super().asked(now, play, *facts, **named))
        pure = play in self.plays and self.plays[play].product["idempotency"] == "pure"
        return [*said, ("withdraw", play, 0)] if pure and said and said[-1][0] == "allocate" else said


class Alarmist(SiteDetector):
    """Declares a site lost without evidence, for the whole fleet, and takes nothing of it back."""

    def wake(self, now):
        said = super().wake(now)
        if len(self.sites) > 1 and all(site.state != LOST for site in self.sites.values()):
            site = self.sites[min(self.sites)]
            hidden = [node.name for node in site.nodes.values()]
            for node in site.nodes.values():
                node.hidden = True
            site.hold_ticks, site.lost_at, site.fleet_wide = 1 << 40, now, True
            said += [*self.set_state(now, site, LOST, "a feeling"), ("hide", hidden)]
        return said
