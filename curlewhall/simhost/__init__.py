"""Adapter that runs the decision module under the simulator's line protocol."""
