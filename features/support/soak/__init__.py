"""A randomised run of real processes under faults from outside of them."""
