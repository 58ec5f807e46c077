"""Stand-ins on loopback: playout nodes, the list service and viewers, with faults on command.

They meet a front through its sockets alone and write down what passes at theirs (`curlewhall.records`).
Delivery is paced in true time with the bytes scaled down, by `byte_scale` of the plan.
"""
