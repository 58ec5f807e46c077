"""The platform's door: viewers in binary messages, playout nodes in RTSP, the list from a command channel.

A second door to the same driver (`curlewhall.front.driver`) and module, for a small machine: it decides
nothing about where, at which rung, whether again or whether at all. `messages` and `rtsp` are the codecs
without I/O; `viewers`, `nodes` and `channel` own the connections of one side each; `card` reads the
configuration; `serve` puts them together. Run it as `python -m curlewhall.relay`. See `docs/relay/design.md`.
"""
