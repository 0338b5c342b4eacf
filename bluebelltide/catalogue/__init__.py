"""The catalogue: its entries, their validation, and their replication."""
