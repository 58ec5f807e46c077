"""Decision modules that break one rule each on purpose, to test that the judge reports it, and a detector of
lost sites that breaks a drill's claim.
"""

import time

from curlewhall.policy import PASS, TICKS_PER_SECOND, Front
from curlewhall.sites.decide import SiteDetector
from curlewhall.sites.state import LOST


class StallingFront(Front):
    """Breaks rule 1: at its tenth play it blocks for longer than the time limits of its pending requests."""

    def asked(self, now, play, *arguments, **named_arguments):
        actions = super().asked(now, play, *arguments, **named_arguments)
        if self.requests.totals[-1] == 10:
            time.sleep(4.5)  # seen from outside like an endless computation
        return actions


class DoubleAllocatingFront(Front):
    """Breaks rule 2: a third of its plays, at random, have two pending allocations."""

    def asked(self, now, play, *arguments, **named_arguments):
        actions = list(super().asked(now, play, *arguments, **named_arguments))
        sent = [action for action in actions if action[0] == "allocate"]
        others = [node for node in self.nodes if sent and node != sent[0][2]]
        if others and self.random_below(3) == 0:
            actions.append(("allocate", play, others[self.random_below(len(others))], sent[0][3]))
            self.plays[play].allocations.append(self.plays[play].allocations[0])
        return actions


class DrainIgnoringFront(Front):
    """Breaks rule 3: treats every node as serving, and prefers those that drain."""

    draining = frozenset()

    def choosing_node(self, now, play):
        play.candidates = [node for node in play.candidates if node.id in self.draining] or play.candidates
        return super().choosing_node(now, play)

    def listed(self, now, how, rows):
        rows = list(rows)
        self.draining = (self.draining | {row.node for row in rows if row.state == "draining"}) - {
            row.node for row in rows if row.state != "draining"
        }
        return super().listed(now, how, [row._replace(state="serving") for row in rows])


class ColdNodeOverloadingFront(Front):
    """Breaks rule 4: once a node has started, it collects plays for 2.4 s and sends them all to that node
    at once.
    """

    WAKE_LABEL = -5

    def __init__(self, now, seed, start_settings):
        super().__init__(now, seed, start_settings)
        self.collected = []
        self.started_node = None
        self.chain = [(self.collecting, None), *self.chain[:3], *self.chain[8:]]

    def listed(self, now, how, rows):
        rows = list(rows)
        for row in rows:
            if row.started > 0 and row.state == "serving" and self.started_node is None:
                self.started_node = row.node
                self.answers.append(("wake", TICKS_PER_SECOND * 12 // 5, self.WAKE_LABEL))
        return super().listed(now, how, rows)

    def collecting(self, now, play):
        if self.started_node is None or play.allocations:
            return PASS
        self.collected.append(play)
        return "keep"

    def choosing_node(self, now, play):
        play.candidates = [self.nodes[self.started_node]] if self.started_node else play.candidates[:1]
        return PASS

    def wake(self, now, label):
        if label == self.WAKE_LABEL:
            collected, self.collected, started_node = self.collected, [], self.started_node
            for play in [p for p in collected if not p.answered]:
                for stage in (self.choosing_node, self.choosing_rung, self.allocating):
                    stage(now, play)
            self.started_node = None if started_node is not None else self.started_node
            return self.take_answers()
        return super().wake(now, label)


class FloorIgnoringFront(Front):
    """Breaks rule 5: puts every play on the lowest rung, whatever its product's floor."""

    def asked(self, now, play, *arguments, **named_arguments):
        return [
            ("rung", action[1], 0) if action[0] == "rung" else action
            for action in super().asked(now, play, *arguments, **named_arguments)
        ]


class BudgetIgnoringFront(Front):
    """Breaks rule 6: withdraws the first allocation of each play that is not paid, and sends another."""

    def rationed(self, now, play):
        return PASS

    def asked(self, now, play, *arguments, **named_arguments):
        actions = list(super().asked(now, play, *arguments, **named_arguments))
        pure = play in self.plays and self.plays[play].product["idempotency"] == "pure"
        return (
            [*actions, ("withdraw", play, 0)]
            if pure and actions and actions[-1][0] == "allocate"
            else actions
        )


class FalseAlarmDetector(SiteDetector):
    """Declares a site lost for the whole fleet without evidence, and never revokes it."""

    def wake(self, now):
        actions = super().wake(now)
        if len(self.sites) > 1 and all(site.state != LOST for site in self.sites.values()):
            site = self.sites[min(self.sites)]
            hidden = [node.name for node in site.nodes.values()]
            for node in site.nodes.values():
                node.hidden = True
            site.hold_ticks, site.lost_at, site.fleet_wide = 1 << 40, now, True
            actions += [*self.set_state(now, site, LOST, "no evidence"), ("hide", hidden)]
        return actions
