"""The running front: it tells the module all that happens on its sockets and carries out all that it answers.

`driver` owns the module and the plays, `viewers`, `nodes`, `listing` and `peers` one side each, `serve` puts
them together. Nothing here decides where, at which rung or whether a play is set up: `curlewhall.policy`
does.
"""
