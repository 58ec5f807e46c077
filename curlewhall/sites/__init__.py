"""What a site is (a zone of the list; without zones a rack), whether it is lost, where its load goes, what is
refused first, and how its return is paced.

`decide` says what is lost and which nodes get plays, `plan` what the loss of each site would cost (both free
of I/O), `state` what is held, `run` joins them to the front, `null_objects` stands in where there is none.
See `docs/sites/design.md`. Nothing is imported here: the relay needs `null_objects` alone.
"""
