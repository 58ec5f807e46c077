"""The front process: reports events on its sockets to the decision module and executes the module's actions.

`driver` owns the module and the plays; `viewers`, `nodes`, `list_follower` and `peers` handle one kind of
connection each; `serve` assembles them. Whether, where and at which rung a play is set up is decided in
`curlewhall.policy`, not here.
"""
