"""The platform's front end: viewers in binary messages, playout nodes in RTSP, the node list by a command
channel.

A second front end to the same driver (`curlewhall.front.driver`) and module, for a small machine: it decides
nothing about where, at which rung, whether again or whether at all. `curlewhall.codecs` holds the codecs;
`viewers`, `nodes` and `channel` own the connections of one side each; `decide` holds the delays and timeouts;
`start_settings` reads the configuration; `serve` puts them together. Run it as `python -m curlewhall.relay`.
See `docs/relay/design.md`.
"""
