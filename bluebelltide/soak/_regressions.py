"""Seeds that failed in the past; they are rerun on request."""

REGRESSION_SEEDS = {
    334: "the stand-in caller took a retransmitted answer to its previous "
    "request for the answer to the next one",
}
"""The cause of each seed's failure, by seed; runs had 12 s of faults."""
