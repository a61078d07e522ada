"""Decision logic of a gateway: routes, workers, load, placement, budgets.

It is independent of network and wire format; times are passed in as ms.
"""
