"""Tests of the soak's plans, invariants, links and callers."""
