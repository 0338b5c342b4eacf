"""Fronts: where callers' flows enter, as TCP connections or as packets."""
