"""Tests of messages between processes."""
