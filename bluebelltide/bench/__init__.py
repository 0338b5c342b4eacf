"""The program for load tests and experiments."""
