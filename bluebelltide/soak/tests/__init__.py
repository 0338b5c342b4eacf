"""Tests of the soak's plan, ledger and links."""
