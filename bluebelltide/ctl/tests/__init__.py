"""Tests of the command line for operators."""
