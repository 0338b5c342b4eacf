"""The entry instance: forwards flows and receives target announcements."""
