"""Detects the loss of a site, moves its load elsewhere, sheds load for it and paces its return.

A site is a zone of the node list; where the list has a single zone, a rack. `decide` determines which sites
are lost and which of their nodes may get plays; `plan` computes what the loss of each site would cost and how
much load to shed (both without I/O). `state` holds the records of nodes and sites, `run` connects all of it
to the front, and `null_objects` replaces it in programs without sites.

This package imports nothing itself, because the relay loads only `null_objects`.
"""
