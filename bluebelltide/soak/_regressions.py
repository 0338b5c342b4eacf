"""Seeds that failed once, with the cause; they are run again by hand."""

REGRESSION_SEEDS = {
    334: "the stand-in caller took a repeated answer to its request before "
    "for the answer to the next one",
}
"""The cause of each seed's failure, with 12 s of faults."""
